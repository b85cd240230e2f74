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

// withOrders adds an order application to a configuration.
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

var _ = Describe("A daemon that is replaced while the log is away", func() {
	DescribeTable("serves by its peers' groups, orders nothing, and agrees when the log is back", func(away fakes.Faults) {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, fast(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		configuration, service := withOrders(testbed.SampleConfig(2, north))
		bed.Publish(0, configuration)
		for _, d := range daemons {
			eventuallyComplete(d, 2)
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(3))
			Eventually(func() bool { return place(d, "warm-up").done() }, waitOrders, orderPoll).Should(BeTrue())
		}
		// The one spare VM was a member before, so that a release is due once it
		// reports that group again.
		former := daemons[0].CompleteGroups(testbed.SampleModel)[0]
		spare := bed.Engines[former.Members[1]]
		spare.Kill()
		Eventually(func() int { return ledger(bed).Forms() }, waitRepair, tick).Should(Equal(3))
		spare.Restart()
		for _, d := range daemons {
			eventuallyComplete(d, 2)
		}
		controls := countEvents(bed, fakes.EventControl)
		bed.Log.Set(away)
		daemons[1].Kill()
		started := bed.Replace(daemons[1])
		daemons[1] = started
		Eventually(ready(started), waitRepair, tick).Should(BeTrue())
		groups := eventuallyComplete(started, 2)
		body := completionBody("from a peer's groups", 6, true)
		expectWhole(ask(started, body), body, 6)
		Expect(place(started, "away").outcome).To(Equal(refusal.NotRun))

		stray := spare.Report()
		stray.Group = former.Fencing
		spare.SetReport(stray)
		load := startTraffic(started)
		bed.Engines[groups[0].Members[1]].Kill()
		for _, d := range daemons {
			eventuallyComplete(d, 1)
		}
		Consistently(func() int { return complete(started) }, detection, tick).Should(Equal(1))
		Expect(countEvents(bed, fakes.EventControl)).To(Equal(controls))
		Expect(service.RunsOf("away")).To(BeZero())

		bed.Log.Set(fakes.Faults{})
		for _, d := range daemons {
			eventuallyComplete(d, 2)
		}
		for _, d := range daemons {
			Expect(d.CompleteGroups(testbed.SampleModel)).To(ConsistOf(started.CompleteGroups(testbed.SampleModel)))
		}
		Eventually(func() bool { return place(started, "away").done() }, waitOrders, orderPoll).Should(BeTrue())
		Expect(service.RunsOf("away")).To(Equal(1))
		load.stop()
		expectNoViolation(checkOf(bed))
	},
		Entry("answering errors", fakes.Faults{Down: true}),
		Entry("answering nothing", fakes.Faults{Frozen: true}),
	)
})
