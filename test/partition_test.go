package test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const south = fleet.DataCentre("south")

func reached(d *testbed.Daemon) func() []fleet.DataCentre {
	return func() []fleet.DataCentre {
		status, err := d.Status()
		if err != nil {
			return nil
		}
		return status.DataCentres
	}
}

// askOnce returns the status of one short request.
func askOnce(d *testbed.Daemon) int {
	response, err := d.Post("/v1/completions", testbed.TeamKey, `{"model":"swatch-draft","prompt":"x","max_tokens":2}`, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

var _ = Describe("A data centre that is cut off from the others and from the platform", func() {
	It("goes on serving with its own groups, and comes back", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		bed.AddEngines(south, "south-a", 2, fast(true))
		daemons := bed.StartDaemons(nil, north, north, south, south)
		bed.Publish(0, testbed.SampleConfig(1, north, south))
		for _, d := range daemons {
			eventuallyComplete(d, 1)
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
		for range 20 {
			for _, d := range daemons {
				Expect(askOnce(d)).To(Equal(http.StatusOK))
			}
			time.Sleep(tick)
		}
		bed.MendDataCentres(north, south)
		for _, d := range daemons[:2] {
			d.Latch.Mend(testbed.SideLog)
			d.Latch.Mend(testbed.SideVMs)
		}
		for _, d := range daemons {
			Eventually(reached(d), waitMesh, tick).Should(HaveLen(1))
			eventuallyComplete(d, 1)
		}
	})
})

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
