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
	// changeBound is the time within which a configuration change must be in
	// force at every daemon.
	changeBound = 6 * time.Second
)

// reachableDataCentres returns a function that reports the other data centres that
// a daemon can reach, nil if its status is unavailable.
func reachableDataCentres(d *testbed.Daemon) func() []fleet.DataCentre {
	return func() []fleet.DataCentre {
		status, err := d.Status()
		if err != nil {
			return nil
		}
		return status.DataCentres
	}
}

// configVersion returns a function that reports the configuration version in
// force at a daemon.
func configVersion(d *testbed.Daemon) func() infra.Offset {
	return func() infra.Offset {
		status, _ := d.Status()
		return status.ConfigVersion
	}
}

var _ = Describe("A data centre that is partitioned from the others and from the platform", func() {
	It("keeps serving from complete groups under its last configuration, and catches up when it is reconnected", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, engineOptions(true))
		bed.AddEngines(south, "south-a", 4, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north, south, south)
		configuration := testbed.SampleConfig(2, north, south)
		first := bed.Publish(0, configuration)
		for _, d := range daemons {
			eventuallyComplete(d, 2)
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(2))
			Eventually(reachableDataCentres(d), meshTimeout, pollInterval).Should(HaveLen(1))
		}
		bed.CutDataCentres(north, south)
		for _, d := range daemons[:2] {
			d.Latch.Cut(testbed.SideLog)
			d.Latch.Cut(testbed.SideVMs)
		}
		for _, d := range daemons {
			Eventually(reachableDataCentres(d), meshTimeout, pollInterval).Should(BeEmpty())
		}
		configuration.Models[0].Requests++
		second := bed.Publish(first, configuration)
		expectServing(daemons, logstream.DefaultPollWait+detectionBound) // a log read in progress fails only when its wait ends
		groups := daemons[0].CompleteGroups(testbed.SampleModel)
		bed.Engines[groups[0].Members[1]].Kill()
		for _, d := range daemons[:2] {
			eventuallyComplete(d, 1)
		}
		expectServing(daemons, detectionBound)
		for _, d := range daemons[:2] {
			Expect(completeGroups(d)).To(Equal(1))
			Expect(configVersion(d)()).To(Equal(first))
		}
		for _, d := range daemons[2:] {
			Expect(completeGroups(d)).To(Equal(2))
			Expect(configVersion(d)()).To(Equal(second))
		}
		bed.Engines[groups[1].Members[1]].Kill()
		for _, d := range daemons[:2] {
			eventuallyComplete(d, 0)
			Expect(sendCompletion(d, completionBody("nobody is left", 3, false)).outcome).To(Equal(string(refusal.NotRun)))
		}
		bed.Engines[groups[0].Members[1]].Restart()
		bed.MendDataCentres(north, south)
		for _, d := range daemons[:2] {
			d.Latch.Mend(testbed.SideLog)
			d.Latch.Mend(testbed.SideVMs)
		}
		for _, d := range daemons {
			Eventually(configVersion(d), changeBound, pollInterval).Should(Equal(second))
			Eventually(reachableDataCentres(d), meshTimeout, pollInterval).Should(HaveLen(1))
			eventuallyComplete(d, 2)
		}
		expectServing(daemons, pollInterval)
		check := newCheck(bed)
		check.Events = slices.DeleteFunc(check.Events, func(e fakes.EngineEvent) bool { return strings.HasPrefix(string(e.VM), "south") })
		expectNoViolation(check)
	})
})

// expectServing sends requests to each daemon for the given duration and expects
// complete answers.
func expectServing(daemons []*testbed.Daemon, duration time.Duration) {
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		for j, d := range daemons {
			body := completionBody(fmt.Sprintf("sample %d of %d", i, j), 3, i%2 == 0)
			expectCompleteAnswer(sendCompletion(d, body), body, 3)
		}
		time.Sleep(pollInterval)
	}
}

var _ = Describe("A frozen daemon", func() {
	It("is dropped by its peers, which keep serving, and does not use outdated reports when it thaws", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		var first fleet.Group
		for _, d := range daemons {
			first = eventuallyComplete(d, 1)[0]
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(3))
		}
		frozen, others := daemons[0], daemons[1:]
		frozen.Latch.Freeze()
		for _, d := range others {
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(2))
			Consistently(func() int { return completeGroups(d) }, detectionBound, pollInterval).Should(Equal(1))
		}
		bed.Engines[first.Members[1]].Server.Kill()
		for _, d := range daemons {
			Eventually(func() int { return completeGroups(d) }, repairTimeout, pollInterval).Should(BeZero())
		}
		frozen.Latch.Thaw()
		Consistently(func() int { return completeGroups(frozen) }, detectionBound, pollInterval/5).Should(BeZero())
		for _, d := range daemons {
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(3))
		}
	})
})
