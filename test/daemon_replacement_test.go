package test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

func ready(d *testbed.Daemon) func() bool {
	return func() bool {
		status, err := d.Status()
		return err == nil && status.Ready
	}
}

// withOrders adds a service that accepts orders to a configuration and returns the
// service.
func withOrders(configuration config.Configuration) (config.Configuration, *fakes.Service) {
	service := fakes.NewService(false)
	address := testbed.Serve(service.Handler()).Address()
	configuration.Services = []config.Service{{
		Name:        "orders",
		KeyLifetime: 3600,
		Endpoints:   []config.ServiceEndpoint{{Address: address, DataCentre: north}},
		Calls:       []config.Call{{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 8}},
	}}
	return configuration, service
}

var _ = Describe("A daemon that is replaced while the log is unavailable", func() {
	DescribeTable("serves from the groups its peers report, sends no control order, runs no service order, and agrees with its peers when the log is back", func(logFaults fakes.Faults) {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		configuration, service := withOrders(testbed.SampleConfig(2, north))
		bed.Publish(0, configuration)
		for _, d := range daemons {
			eventuallyComplete(d, 2)
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(3))
			Eventually(func() bool { return placeOrder(d, "warm-up").done() }, orderTimeout, orderPollInterval).Should(BeTrue())
		}
		// The only spare VM was a member before. When it reports that group again, it
		// is due for a release, which no daemon may order without the log.
		former := daemons[0].CompleteGroups(testbed.SampleModel)[0]
		spare := bed.Engines[former.Members[1]]
		spare.Kill()
		Eventually(func() int { return ledger(bed).GrantedGroups() }, repairTimeout, pollInterval).Should(Equal(3))
		spare.Restart()
		for _, d := range daemons {
			eventuallyComplete(d, 2)
		}
		controls := countEvents(bed, fakes.EventControl)
		bed.Log.Set(logFaults)
		daemons[1].Kill()
		replacement := bed.Replace(daemons[1])
		daemons[1] = replacement
		Eventually(ready(replacement), repairTimeout, pollInterval).Should(BeTrue())
		groups := eventuallyComplete(replacement, 2)
		body := completionBody("from a peer's groups", 6, true)
		expectCompleteAnswer(sendCompletion(replacement, body), body, 6)
		Expect(placeOrder(replacement, "away").outcome).To(Equal(refusal.NotRun))

		stray := spare.Report()
		stray.Group = former.Fencing
		spare.SetReport(stray)
		load := startTraffic(replacement)
		bed.Engines[groups[0].Members[1]].Kill()
		for _, d := range daemons {
			eventuallyComplete(d, 1)
		}
		Consistently(func() int { return completeGroups(replacement) }, detectionBound, pollInterval).Should(Equal(1))
		Expect(countEvents(bed, fakes.EventControl)).To(Equal(controls))
		Expect(service.RunsOf("away")).To(BeZero())

		bed.Log.Set(fakes.Faults{})
		for _, d := range daemons {
			eventuallyComplete(d, 2)
		}
		for _, d := range daemons {
			Expect(d.CompleteGroups(testbed.SampleModel)).To(ConsistOf(replacement.CompleteGroups(testbed.SampleModel)))
		}
		Eventually(func() bool { return placeOrder(replacement, "away").done() }, orderTimeout, orderPollInterval).Should(BeTrue())
		Expect(service.RunsOf("away")).To(Equal(1))
		load.stop()
		expectNoViolation(newCheck(bed))
	},
		Entry("the log returns errors", fakes.Faults{Down: true}),
		Entry("the log does not answer", fakes.Faults{Frozen: true}),
	)
})
