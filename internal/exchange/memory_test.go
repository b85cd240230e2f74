package exchange_test

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A request to groups that publish their memory", func() {
	meter := targetstats.NewMeter()
	run := func(memory, prompt, output int, scripts ...script) (*exchange.Failure, []string) {
		sent := &transport{scripts: map[string][]script{"a": scripts}}
		target := &placement.Target{Key: "a", ID: "a", Slots: 10, Group: "a", Meter: meter, MemoryTokens: memory, MeanPromptTokens: 100, MeanOutputTokens: 50}
		view := &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": {target}}}}
		service := &catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m", GroupSize: 1}}, Performance: &catalog.PerformanceModel{Slots: 10, MemoryTokens: memory, MeanPromptTokens: 100, MeanOutputTokens: 50}}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: sent, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 },
			Suspects: suspect.NewTable(suspect.Policy{}), FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler),
		})
		now := time.Now()
		failure := x.Run(context.Background(), &exchange.Request{ID: "r", Route: &catalog.Route{Name: "r", Kind: catalog.Streaming, MaxAttempts: 1}, Service: service, Model: "m", PromptTokens: prompt, OutputTokens: output, Arrived: now, Deadline: now.Add(2 * time.Second)}, &sink{})
		return failure, sent.calls
	}

	// Guards against a request that no group can ever hold, but that each of them is tried with.
	DescribeTable("is refused at once as not run if no group can hold it", func(memory, prompt, output int) {
		failure, calls := run(memory, prompt, output, answers(200, io.EOF, event(1)))
		Expect(failure.Reason).To(Equal(exchange.ExceedsMemory))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(calls).To(BeEmpty())
	},
		Entry("by its lengths", 1000, 900, 101),
		Entry("by its prompt and the mean answer", 1000, 951, 0),
	)

	// Guards against tokens that stay counted, or that are not counted while the request runs.
	It("counts while it is in progress if it fits", func() {
		during := 0
		failure, calls := run(1000, 900, 100, func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
			during = meter.LocalTokens()
			return answers(200, io.EOF, event(1))(ctx, call)
		})
		Expect(failure).To(BeNil())
		Expect(calls).To(HaveLen(1))
		Expect([]int{during, meter.LocalTokens()}).To(Equal([]int{1000, 0}))
	})

	It("is placed whatever its length if they publish none", func() {
		failure, _ := run(0, 1<<30, 0, answers(200, io.EOF, event(1)))
		Expect(failure).To(BeNil())
	})
})
