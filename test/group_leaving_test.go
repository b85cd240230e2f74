package test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("A group with a leaving member", func() {
	It("starts nothing new, finishes what it runs, and has a successor before it is released", func() {
		bed := testbed.New()
		options := fast(true)
		options.TokenDelay = 50 * time.Millisecond
		bed.AddEngines(north, "north-a", 4, options)
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(a, 1)[0]

		status := make(chan int, 1)
		go func() { status <- longRequest(a) }()
		Eventually(func() int { return countEvents(bed, fakes.EventStart) }, waitRepair, tick).Should(Equal(1))
		load := startTraffic(a)

		going := bed.Engines[first.Members[1]].VM(north, "north-a")
		going.Leaving = true
		leftAt := time.Now()
		bed.VMList.Put(going)

		Eventually(func() bool {
			groups := a.CompleteGroups(testbed.SampleModel)
			return len(groups) == 1 && groups[0].Fencing != first.Fencing
		}, waitRepair, tick).Should(BeTrue())
		Expect(bed.Engines[first.Members[0]].Report().Group).To(Equal(first.Fencing), "released before its request ended")
		Eventually(status, waitRepair).Should(Receive(Equal(http.StatusOK)))
		Eventually(func() fleet.FencingNumber { return bed.Engines[first.Members[0]].Report().Group }, waitRepair, tick).ShouldNot(Equal(first.Fencing))
		load.stop()
		check := checkOf(bed)
		check.Leaving = map[fleet.VMID]time.Time{going.ID: leftAt}
		expectNoViolation(check)
	})
})

// longRequest runs for some seconds and returns its status once it is whole.
func longRequest(d *testbed.Daemon) int {
	response, err := d.Post("/v1/completions", testbed.TeamKey, `{"model":"swatch-draft","prompt":"long","max_tokens":160}`, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
