package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A dispatcher of 220 other daemons, which report every 660 ms", func() {
	const interval = 660 * time.Millisecond
	now := time.Unix(1000, 0)
	var d *dispatcher
	var receivedAt map[string]time.Time
	call := dispatch.Call{Service: "s", Model: "m", PromptTokens: 700}
	BeforeEach(func() {
		receivedAt = map[string]time.Time{"n": now}
		target := &placement.Target{Key: "g", ID: "g", DataCentre: "z", Slots: 10, Group: "g", Meter: targetstats.NewMeter()}
		view := &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": {target}}}}
		service := &catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m"}}, Performance: &catalog.PerformanceModel{Slots: 10, StepsPerPass: 5, StepDuration: 10 * time.Millisecond, PrefillTokensPerSecond: 50000}}
		d = newDispatcher(dispatcherDependencies{
			self: "self", dataCentre: "z", view: func() *placement.View { return view }, metrics: metrics.NewSet(),
			catalog:  func() *catalog.Catalog { return &catalog.Catalog{Services: map[string]*catalog.Service{"s": service}} },
			reported: func(time.Time) (map[uint32]gossip.Load, map[string]time.Time) { return nil, receivedAt },
			delay:    func() time.Duration { return 3 * interval }, declines: func() dispatch.Decline { return "" },
		})
		d.setActing(true)
		d.review(now)
	})

	// Guards against groups that are given more requests than they have room for, because the
	// dispatcher forgets its assignments before they are reported.
	It("remembers what it has assigned until that is reported", func() {
		for range 12 {
			Expect(d.answer("n", call, now).Target).To(Equal("g"))
		}
		later := now.Add(interval - time.Millisecond)
		d.review(later)
		Expect(d.answer("n", call, later).Refused).To(Equal(dispatch.NoRoom), "ten slots are in use, and two requests wait")
	})
	// Guards against a dispatcher that declines for daemons of which one report is late.
	It("chooses for daemons of which some reports are lost, and declines after ten", func() {
		Expect(d.answer("n", call, now.Add(10*interval)).Target).To(Equal("g"))
		Expect(d.answer("n", call, now.Add(10*interval+time.Millisecond)).Declined).To(Equal(dispatch.NoReport))
	})
	// Guards against another number of hops in what gossip states as its delay.
	It("derives the interval from the delay of gossip", func() {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		g, err := gossip.New(gossip.Dependencies{
			Node: "self", DataCentre: "z", Address: "127.0.0.1:0", Incarnation: 1, Logger: slog.New(slog.DiscardHandler),
			LocalMessage: func() gossip.Message { return gossip.Message{} }, OnMessage: func(gossip.Message) {},
		})
		Expect(err).NotTo(HaveOccurred())
		var batch keyed.Batch
		for i := range 220 {
			value, err := cbor.Marshal(gossip.Registration{Address: socket.LocalAddr().String(), DataCentre: "z", Incarnation: 1})
			Expect(err).NotTo(HaveOccurred())
			batch.Records = append(batch.Records, keyed.Record{Key: fmt.Sprint("n", i), Value: value})
		}
		g.Apply(batch)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			g.Run(ctx)
		}()
		DeferCleanup(func() { cancel(); <-stopped })
		Eventually(func() time.Duration { return reportInterval(g.Delay()) }, "3s", "20ms").Should(Equal(interval))
	})
})
