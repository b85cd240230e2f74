package exchange_test

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
)

var _ = Describe("Recognition of requests that their callers retry", func() {
	var returns *exchange.Returns
	isLate := func(request uint64, timeout, left time.Duration) bool {
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return &placement.View{} }, Daemons: func() int { return 1 }, Delay: func() time.Duration { return 0 },
			Killers: exchange.NewKillers(), Returns: returns, Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler),
			Retries: exchange.RetryBounds{Window: time.Second},
		})
		route := &catalog.Route{Name: "r", Timeout: timeout, Objective: 400 * time.Millisecond}
		now := time.Now()
		req := &exchange.Request{Route: route, Service: &catalog.Service{Name: "s"}, Fingerprint: request, Arrived: now, Deadline: now.Add(left)}
		x.Run(context.Background(), req, &sink{}) // refused because there is no target
		return req.Late
	}
	BeforeEach(func() { returns = exchange.NewReturns() })

	It("works by fingerprint at the daemon that refused the request and at the daemons notified", func() {
		Expect(isLate(1, 8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(1, 8*time.Second, 7500*time.Millisecond)).To(BeTrue())
		published := returns.Told(time.Now())
		returns = exchange.NewReturns()
		Expect(isLate(2, 8*time.Second, 8*time.Second)).To(BeFalse())
		returns.Hear(published, time.Now())
		Expect(isLate(1, 8*time.Second, 7500*time.Millisecond)).To(BeTrue())
	})

	It("does not depend on the remaining time, since callers use different timeouts", func() {
		Expect(isLate(1, 8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(2, 8*time.Second, 6900*time.Millisecond)).To(BeFalse())
	})

	It("does not depend on the route timeout, which a new configuration may shorten", func() {
		Expect(isLate(1, 8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(2, 6900*time.Millisecond, 6900*time.Millisecond)).To(BeFalse())
	})

	It("publishes a request for a limited time and removes it after the retention period", func() {
		now := time.Now()
		returns.Note(7, now)
		Expect(returns.Told(now.Add(400 * time.Millisecond))).To(ConsistOf(uint32(7)))
		Expect(returns.Told(now.Add(time.Second))).To(BeEmpty())
		Expect(returns.Has(7, now.Add(8*time.Second))).To(BeTrue())
		returns.Forget(now.Add(time.Minute))
		Expect(returns.Has(7, now)).To(BeFalse())
	})
})
