package exchange_test

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

var _ = Describe("The demand that an exchanger counts", func() {
	service := &catalog.Service{Name: "s", RanksRoutes: true, Models: []catalog.Model{{Name: "m", GroupSize: 2}}, Performance: &catalog.PerformanceModel{MeanPromptTokens: 500}}
	counter := &demand.Counter{}
	x := exchange.New(exchange.Dependencies{
		View:    func() *placement.View { return &placement.View{} },
		Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 }, Suspects: suspect.NewTable(suspect.Policy{}),
		OwnsTrial: func(suspect.Trait) bool { return false }, FailedRequests: exchange.NewFailedRequests(), Counter: counter,
		Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler),
	})
	// refuse makes a request that no target can take, and returns what was counted for a model.
	refuse := func(model string, fingerprint uint64, lastEvent string) demand.Total {
		now := time.Now()
		failure := x.Run(context.Background(), &exchange.Request{
			Route: &catalog.Route{Name: "r", MaxAttempts: 1}, Service: service, Model: model, Priority: 2, OutputTokens: 30,
			Fingerprint: fingerprint, LastEvent: lastEvent, Arrived: now, Deadline: now.Add(time.Second),
		}, &sink{})
		Expect(failure.Reason).To(Equal(exchange.NoTarget))
		return demand.TotalOf(counter.Reports(time.Now()), "s", model)
	}

	It("includes refused requests, but neither their repeats, resumed streams nor models that are not configured", func() {
		first := refuse("m", 1, "")
		Expect(first.RequestsPerS).To(BeNumerically("~", 0.5, 0.01))
		Expect(first.ByPriority).To(HaveKey(2))
		Expect(first.PromptTokensPerS/first.RequestsPerS).To(BeNumerically("~", 500, 0.1), "the published mean stands for a length that is not given")
		Expect(first.OutputTokensPerS / first.RequestsPerS).To(BeNumerically("~", 30, 0.1))
		Expect(refuse("m", 1, "").RequestsPerS).To(BeNumerically("~", 0.5, 0.01), "a repeat")
		Expect(refuse("m", 2, "7").RequestsPerS).To(BeNumerically("~", 0.5, 0.01), "a resumed stream")
		Expect(refuse("m", 3, "").RequestsPerS).To(BeNumerically("~", 1, 0.02))
		Expect(refuse("unknown", 4, "").RequestsPerS).To(BeZero(), "callers choose this name, so that the number of them is not bounded")
	})
})
