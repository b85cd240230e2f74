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
	It("starts no new requests, finishes the running ones, and is replaced before it is released", func() {
		bed := testbed.New()
		options := engineOptions(true)
		options.TokenDelay = 50 * time.Millisecond
		bed.AddEngines(north, "north-a", 4, options)
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(a, 1)[0]

		status := make(chan int, 1)
		go func() { status <- sendLongRequest(a) }()
		Eventually(func() int { return countEvents(bed, fakes.EventStart) }, repairTimeout, pollInterval).Should(Equal(1))
		load := startTraffic(a)

		leavingVM := bed.Engines[first.Members[1]].VM(north, "north-a")
		leavingVM.Leaving = true
		listedAt := time.Now()
		bed.VMList.Put(leavingVM)

		Eventually(func() bool {
			groups := a.CompleteGroups(testbed.SampleModel)
			return len(groups) == 1 && groups[0].Fencing != first.Fencing
		}, repairTimeout, pollInterval).Should(BeTrue())
		Expect(bed.Engines[first.Members[0]].Report().Group).To(Equal(first.Fencing), "group released before its request ended")
		Eventually(status, repairTimeout).Should(Receive(Equal(http.StatusOK)))
		Eventually(func() fleet.FencingNumber { return bed.Engines[first.Members[0]].Report().Group }, repairTimeout, pollInterval).ShouldNot(Equal(first.Fencing))
		load.stop()
		check := newCheck(bed)
		check.Leaving = map[fleet.VMID]time.Time{leavingVM.ID: listedAt}
		expectNoViolation(check)
	})
})

// sendLongRequest sends a request that runs for some seconds and returns the
// status of its complete answer, 0 when the connection broke.
func sendLongRequest(d *testbed.Daemon) int {
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
