package test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	orderTimeout      = 30 * time.Second
	orderPollInterval = 50 * time.Millisecond
)

// orderBed is a test bed with one service that accepts orders.
type orderBed struct {
	*testbed.Bed
	service *fakes.Service
}

func newOrderBed() *orderBed {
	b := &orderBed{Bed: testbed.New(), service: fakes.NewService(false)}
	address := testbed.Serve(b.service.Handler()).Address()
	configuration := testbed.SampleConfig(0, "north")
	configuration.Services = []config.Service{{
		Name:        "orders",
		KeyLifetime: 3600,
		Endpoints:   []config.ServiceEndpoint{{Address: address, DataCentre: "north"}},
		Calls: []config.Call{
			{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 8},
			{Method: http.MethodPost, Path: "/orders/press", TimeoutSeconds: 8},
		},
	}}
	b.Publish(0, configuration)
	return b
}

// orderResult is the response that a caller got to an order.
type orderResult struct {
	outcome refusal.Outcome // empty when the connection broke
	body    string
}

func (r orderResult) done() bool { return r.outcome == refusal.Done }

func orderBody(key string) string { return `{"swatch":"` + key + `"}` }

func placeOrder(d *testbed.Daemon, key string) orderResult {
	header := http.Header{"Idempotency-Key": {key}}
	response, err := d.Post("/v1/services/orders/orders", testbed.TeamKey, orderBody(key), header)
	if err != nil {
		return orderResult{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return orderResult{}
	}
	return orderResult{outcome: refusal.Outcome(response.Header.Get(refusal.OutcomeHeader)), body: string(body)}
}

var _ = Describe("A service order", func() {
	It("runs once, and gets the same answer again after every daemon was replaced in turn", func() {
		b := newOrderBed()
		started := b.StartDaemons(nil, "north", "north", "north", "south")
		var daemons [4]atomic.Pointer[testbed.Daemon]
		for i, d := range started {
			daemons[i].Store(d)
			Eventually(func() bool { return placeOrder(d, "warm-up").done() }, orderTimeout, orderPollInterval).Should(BeTrue())
		}
		stop := make(chan struct{})
		var keys atomic.Int64
		var callers sync.WaitGroup
		for caller := range 4 {
			callers.Go(func() {
				defer GinkgoRecover()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					key := fmt.Sprintf("rolling-%d", keys.Add(1))
					Eventually(func() bool {
						i++
						return placeOrder(daemons[(caller+i)%len(daemons)].Load(), key).done()
					}, orderTimeout, orderPollInterval).Should(BeTrue())
				}
			})
		}
		for i := range daemons {
			old := daemons[i].Load()
			<-old.Stop()
			daemons[i].Store(b.Replace(old))
		}
		close(stop)
		callers.Wait()
		for i := range keys.Load() {
			Expect(b.service.RunsOf(fmt.Sprintf("rolling-%d", i+1))).To(Equal(1))
		}
		first := placeOrder(daemons[0].Load(), "rolling-1")
		Expect(first.done()).To(BeTrue())
		Expect(placeOrder(daemons[3].Load(), "rolling-1")).To(Equal(first))
		Expect(b.service.RunsOf("warm-up")).To(Equal(1))
	})

	It("runs to its end when its caller disconnects, and a repeat does not run it again", func() {
		b := newOrderBed()
		d := b.StartDaemons(nil, "north")[0]
		Eventually(func() bool { return placeOrder(d, "warm-up").done() }, orderTimeout, orderPollInterval).Should(BeTrue())
		b.service.Set(fakes.Faults{DelayMS: 500})
		client := http.Client{Timeout: 200 * time.Millisecond}
		body := strings.NewReader(orderBody("left"))
		request, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddress()+"/v1/services/orders/orders", body)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
		request.Header.Set("Idempotency-Key", "left")
		_, err = client.Do(request)
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return b.service.RunsOf("left") }, orderTimeout, orderPollInterval).Should(Equal(1))
		Expect(placeOrder(d, "left").done()).To(BeTrue())
		Expect(b.service.RunsOf("left")).To(Equal(1))
	})

	It("runs through another daemon while one is frozen, and does not run again when that daemon thaws", func() {
		b := newOrderBed()
		daemons := b.StartDaemons(nil, "north", "north")
		for _, d := range daemons {
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(2))
			Eventually(func() bool { return placeOrder(d, "warm-up").done() }, orderTimeout, orderPollInterval).Should(BeTrue())
		}
		daemons[0].Latch.Freeze()
		for i := range 8 {
			key := fmt.Sprintf("frozen-%d", i)
			Eventually(func() bool { return placeOrder(daemons[1], key).done() }, orderTimeout, orderPollInterval).Should(BeTrue())
		}
		daemons[0].Latch.Thaw()
		for i := range 8 {
			key := fmt.Sprintf("frozen-%d", i)
			Eventually(func() bool { return placeOrder(daemons[0], key).done() }, orderTimeout, orderPollInterval).Should(BeTrue())
			Expect(b.service.RunsOf(key)).To(Equal(1))
		}
	})
})
