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

var _ = Describe("A caller that comes back", func() {
	var x *exchange.Exchanger
	isLate := func(timeout, left time.Duration) bool {
		route := &catalog.Route{Name: "r", Timeout: timeout, Objective: 400 * time.Millisecond}
		now := time.Now()
		req := &exchange.Request{Route: route, Service: &catalog.Service{Name: "s"}, Arrived: now, Deadline: now.Add(left)}
		x.Run(context.Background(), req, &sink{})
		return req.Late
	}
	BeforeEach(func() {
		x = exchange.New(exchange.Dependencies{
			View: func() *placement.View { return &placement.View{} }, Daemons: func() int { return 1 }, Delay: func() time.Duration { return 0 },
			Killers: exchange.NewKillers(), Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler),
			Retries: exchange.RetryBounds{Window: time.Second},
		})
	})

	It("is known by the time that it has left", func() {
		Expect(isLate(8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(8*time.Second, 7800*time.Millisecond)).To(BeFalse())
		Expect(isLate(8*time.Second, 7300*time.Millisecond)).To(BeTrue())
	})

	It("is not taken for one because a configuration has shortened the route's timeout", func() {
		Expect(isLate(8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(6900*time.Millisecond, 6900*time.Millisecond)).To(BeFalse())
		Expect(isLate(6900*time.Millisecond, 6400*time.Millisecond)).To(BeTrue())
	})
})
