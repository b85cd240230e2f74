package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/daemon"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// Guards against requests that wait in a socket and arrive at an address that takes none any more.
var _ = Describe("A request on its way to an address that stops taking requests", func() {
	const size = 256 << 10                          // bytes, more than the endpoint's system takes
	const withdrawnWithin = 1500 * time.Millisecond // half of the 3 s in which requests may still start at a VM that leaves

	listen := func(hearing *fakes.Hearing, handler http.Handler) (address string) {
		listener, err := hearing.Listen(testbed.Loopback)
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		DeferCleanup(func() { hearing.Deafen(false) })
		return listener.Addr().String()
	}
	post := func(d *testbed.Daemon, path, body string) <-chan int {
		status := make(chan int, 1)
		go func() {
			answer, err := d.Post(path, testbed.TeamKey, body, http.Header{"Idempotency-Key": {"k"}})
			if err != nil {
				status <- 0
				return
			}
			_ = answer.Body.Close()
			status <- answer.StatusCode
		}()
		return status
	}

	It("of a service that is no longer configured does not arrive", func() {
		bed, hearing, service := testbed.New(), fakes.NewHearing(), fakes.NewService(false)
		configuration := testbed.SampleConfig(0, "north")
		configuration.Services = []config.Service{{
			Name: "orders", KeyLifetime: 3600,
			Endpoints: []config.ServiceEndpoint{{Address: listen(hearing, service.Handler()), DataCentre: "north"}},
			Calls:     []config.Call{{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 30}},
		}}
		d := bed.StartDaemon("north", nil)
		version := bed.Publish(0, configuration)
		Eventually(func() infra.Offset { return statusOf(d).ConfigVersion }, eventuallyTimeout, pollInterval).Should(Equal(version))
		hearing.Deafen(true)
		answered := post(d, "/v1/services/orders/orders", strings.Repeat("x", size))
		Consistently(answered, "500ms").ShouldNot(Receive())
		bed.Publish(version, testbed.SampleConfig(0, "north"))
		time.Sleep(withdrawnWithin)
		hearing.Deafen(false)
		Consistently(service.RunsOf, "500ms").WithArguments("k").Should(BeZero())
		Expect(d.Metrics()).To(ContainSubstring("plantainmux_withdrawn_connections_total 1\n"))
		Eventually(answered, "3s").Should(Receive(Not(Equal(http.StatusOK))))
	})

	// Guards against orders to release a group that are withdrawn with its requests.
	It("does not take reports and orders with it", func() {
		deaf, err := fakes.NewDeafListener()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(deaf.Close)
		adapters := daemon.NewAdapters(settings.Settings{})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		order := endpoint.ControlOrder{Group: fleet.Group{Version: strings.Repeat("x", size)}}
		go func() { _, _ = adapters.Engine.Control(ctx, deaf.Address(), order) }()
		Eventually(func() int { return adapters.Delivery.Unacknowledged(delivery.Workers) }, "3s", pollInterval).Should(BeNumerically(">", 0))
		Expect(adapters.Delivery.Unacknowledged(delivery.Endpoints)).To(BeZero())
		Consistently(func() int {
			return adapters.Delivery.WithdrawStalled(delivery.Endpoints, func(string) bool { return true })
		}, time.Second, 100*time.Millisecond).Should(BeZero())
	})

	It("of a group with a VM that leaves does not arrive", func() {
		bed := testbed.New()
		hearings, engines := map[fleet.VMID]*fakes.Hearing{}, map[fleet.VMID]*fakes.Engine{}
		vms := map[fleet.VMID]fleet.VM{}
		for i := range 2 {
			id := fleet.VMID(fmt.Sprintf("north-a-%d", i))
			hearings[id] = fakes.NewHearing()
			engines[id] = fakes.NewEngine(fakes.EngineOptions{VM: id, ChecksFencing: true})
			vms[id] = fleet.VM{ID: id, Address: listen(hearings[id], engines[id].Handler()), DataCentre: "north", FabricDomain: "a", Accelerators: 8}
			bed.VMList.Put(vms[id])
		}
		d := bed.StartDaemon("north", nil)
		bed.Publish(0, testbed.SampleConfig(1, "north"))
		leader := eventuallyOneGroup(d).Leader()
		hearings[leader].Deafen(true)
		answered := post(d, "/v1/completions", fmt.Sprintf(`{"model":"swatch-draft","prompt":%q,"max_tokens":4}`, strings.Repeat("x", size)))
		Consistently(answered, "200ms").ShouldNot(Receive())
		leaving := vms[leader]
		leaving.Leaving = true
		bed.VMList.Put(leaving)
		time.Sleep(withdrawnWithin)
		hearings[leader].Deafen(false)
		Consistently(func() []fakes.EngineEvent {
			var started []fakes.EngineEvent
			for _, event := range engines[leader].Events() {
				if event.Kind == fakes.EventStart {
					started = append(started, event)
				}
			}
			return started
		}, "500ms").Should(BeEmpty())
	})
})
