package test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	south = fleet.DataCentre("south")
	// changeBound is within what time a change is in force everywhere.
	changeBound = 6 * time.Second
)

func reached(d *testbed.Daemon) func() []fleet.DataCentre {
	return func() []fleet.DataCentre {
		status, err := d.Status()
		if err != nil {
			return nil
		}
		return status.DataCentres
	}
}

// versionIn returns the version in force at a daemon.
func versionIn(d *testbed.Daemon) func() infra.Offset {
	return func() infra.Offset {
		status, _ := d.Status()
		return status.ConfigVersion
	}
}

var _ = Describe("A data centre that is cut off from the others and from the platform", func() {
	It("goes on serving by whole groups and the configuration it has, and comes back", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, fast(true))
		bed.AddEngines(south, "south-a", 4, fast(true))
		daemons := bed.StartDaemons(nil, north, north, south, south)
		configuration := testbed.SampleConfig(2, north, south)
		first := bed.Publish(0, configuration)
		for _, d := range daemons {
			eventuallyComplete(d, 2)
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(2))
			Eventually(reached(d), waitMesh, tick).Should(HaveLen(1))
		}
		bed.CutDataCentres(north, south)
		for _, d := range daemons[:2] {
			d.Latch.Cut(testbed.SideLog)
			d.Latch.Cut(testbed.SideVMs)
		}
		for _, d := range daemons {
			Eventually(reached(d), waitMesh, tick).Should(BeEmpty())
		}
		configuration.Models[0].Requests++
		second := bed.Publish(first, configuration)
		expectServing(daemons, logstream.DefaultPollWait+detection) // a read in progress shows the cut only at its end
		groups := daemons[0].CompleteGroups(testbed.SampleModel)
		bed.Engines[groups[0].Members[1]].Kill()
		for _, d := range daemons[:2] {
			eventuallyComplete(d, 1)
		}
		expectServing(daemons, detection)
		for _, d := range daemons[:2] {
			Expect(complete(d)).To(Equal(1))
			Expect(versionIn(d)()).To(Equal(first))
		}
		for _, d := range daemons[2:] {
			Expect(complete(d)).To(Equal(2))
			Expect(versionIn(d)()).To(Equal(second))
		}
		bed.Engines[groups[1].Members[1]].Kill()
		for _, d := range daemons[:2] {
			eventuallyComplete(d, 0)
			Expect(ask(d, completionBody("nobody is left", 3, false)).outcome).To(Equal(string(refusal.NotRun)))
		}
		bed.Engines[groups[0].Members[1]].Restart()
		bed.MendDataCentres(north, south)
		for _, d := range daemons[:2] {
			d.Latch.Mend(testbed.SideLog)
			d.Latch.Mend(testbed.SideVMs)
		}
		for _, d := range daemons {
			Eventually(versionIn(d), changeBound, tick).Should(Equal(second))
			Eventually(reached(d), waitMesh, tick).Should(HaveLen(1))
			eventuallyComplete(d, 2)
		}
		expectServing(daemons, tick)
		check := checkOf(bed)
		check.Events = slices.DeleteFunc(check.Events, func(e fakes.EngineEvent) bool { return strings.HasPrefix(string(e.VM), "south") })
		expectNoViolation(check)
	})
})

// expectServing asks each daemon for whole answers for a while.
func expectServing(daemons []*testbed.Daemon, length time.Duration) {
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		for j, d := range daemons {
			body := completionBody(fmt.Sprintf("sample %d of %d", i, j), 3, i%2 == 0)
			expectWhole(ask(d, body), body, 3)
		}
		time.Sleep(tick)
	}
}

var _ = Describe("A frozen daemon", func() {
	It("is dropped by its peers, who go on, and believes no old report when it thaws", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		var first fleet.Group
		for _, d := range daemons {
			first = eventuallyComplete(d, 1)[0]
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(3))
		}
		frozen, others := daemons[0], daemons[1:]
		frozen.Latch.Freeze()
		for _, d := range others {
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(2))
			Consistently(func() int { return complete(d) }, detection, tick).Should(Equal(1))
		}
		bed.Engines[first.Members[1]].Server.Kill()
		for _, d := range daemons {
			Eventually(func() int { return complete(d) }, waitRepair, tick).Should(BeZero())
		}
		frozen.Latch.Thaw()
		Consistently(func() int { return complete(frozen) }, detection, tick/5).Should(BeZero())
		for _, d := range daemons {
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(3))
		}
	})
})
