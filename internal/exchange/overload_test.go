package exchange_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A request to a model that is offered far more than it completes", func() {
	var demand func(service, model string) overload.Demand
	var daemons, load int
	var limit float64    // that the endpoints name; negative: none
	var slowdown float64 // that the endpoints report
	var cold bool        // the endpoints are cold, and then take 3 requests a second each
	var lastEvent string
	var set *metrics.Set
	var sent *transport
	var logged *strings.Builder
	run := func(scripts ...script) *exchange.Failure {
		sent = &transport{scripts: map[string][]script{}}
		var targets []*placement.Target
		for _, key := range []string{"g", "h"} {
			meter := targetstats.NewMeter()
			meter.SetRemoteInFlight(load)
			target := &placement.Target{Key: key, ID: key, Slots: 40, Group: key, Slowdown: slowdown, Meter: meter, Limit: targetstats.NewLimits().GetOrCreate(key, 1)}
			if limit >= 0 {
				target.Limit.Observe(limit, time.Now())
				target.Limit.SetShare(limit, time.Now())
			}
			if cold {
				target.Limit.MarkCold(time.Now().Add(time.Minute), time.Now())
				target.Limit.SetColdShare(3, time.Now())
			}
			targets = append(targets, target)
			sent.scripts[key] = scripts
		}
		service := &catalog.Service{
			Name: "s", RanksRoutes: true, ColdStart: time.Minute, ColdPerS: 3, Models: []catalog.Model{{Name: "m", GroupSize: 1}},
			Performance: &catalog.PerformanceModel{Slots: 40, StepsPerPass: 5, StepDuration: 10 * time.Millisecond, PrefillTokensPerSecond: 50000, MeanPromptTokens: 700, MeanOutputTokens: 150},
		}
		view := &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}}
		set, logged = metrics.NewSet(), &strings.Builder{}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: sent, Daemons: func() int { return daemons }, GossipDelay: func() time.Duration { return 400 * time.Millisecond }, Demand: demand,
			Suspects: suspect.NewTable(suspect.Policy{}), OwnsTrial: func(suspect.Trait) bool { return false }, FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(set),
			Logger: slog.New(slog.NewTextHandler(logged, nil)), Retries: exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second}, BodyLimit: 100,
			ReportSuspect: func(*placement.Target, string, bool) {},
		})
		now := time.Now()
		return x.Run(context.Background(), &exchange.Request{
			ID: "r", Route: &catalog.Route{Name: "r", Kind: catalog.Streaming, MaxAttempts: 2}, Service: service, Model: "m", LastEvent: lastEvent, Arrived: now, Deadline: now.Add(2 * time.Second),
		}, &sink{})
	}
	BeforeEach(func() {
		demand = func(string, string) overload.Demand { return overload.Demand{ByPriority: map[int]float64{0: 1e9}} }
		daemons, load, limit, slowdown, cold, lastEvent = 16, 35, -1, 1, false, ""
	})

	It("is refused at once as not run, with the figures that decided, and sent to no endpoint", func() {
		failure := run(answers(200, io.EOF, event(5)))
		Expect(failure.Reason).To(Equal(exchange.Overloaded))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically("~", 550*time.Millisecond, 250*time.Millisecond))
		Expect(sent.calls).To(BeEmpty())
		var text strings.Builder
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`plantainmux_exchange_failures_total{reason="overload"} 1`))
		Expect(text.String()).To(ContainSubstring(`plantainmux_overload_decisions_total{service="s",model="m",result="refused"} 1`))
		Expect(text.String()).To(ContainSubstring(`plantainmux_overload_load{service="s",model="m"} 70`))
		Expect(logged.String()).To(ContainSubstring("reason=overload"))
		Expect(logged.String()).To(ContainSubstring("overload_load=70 overload_demand=1e+09 overload_capacity="))
	})

	DescribeTable("runs where the decision does not apply", func(change func()) {
		change()
		Expect(run(answers(200, io.EOF, event(5)))).To(BeNil())
	},
		Entry("demand not wired", func() { demand = nil }),
		Entry("demand not known", func() { demand = func(string, string) overload.Demand { return overload.Demand{} } }),
		Entry("demand below capacity", func() {
			demand = func(string, string) overload.Demand { return overload.Demand{ByPriority: map[int]float64{0: 1}} }
		}),
		Entry("few daemons", func() { daemons = 15 }),
		Entry("the caller resumes a stream that was started", func() { lastEvent = "4" }),
	)

	It("counts what endpoints say that they take as their capacity", func() {
		limit = 3
		Expect(run().Reason).To(Equal(exchange.Overloaded))
		Expect(logged.String()).To(ContainSubstring("overload_capacity=6"))
	})

	// Counted as full, cold endpoints would let in far more than all of them together take.
	It("counts what cold endpoints take as their capacity", func() {
		cold = true
		Expect(run().Reason).To(Equal(exchange.Overloaded))
		Expect(logged.String()).To(ContainSubstring("overload_capacity=6"))
	})

	// Counted as normal, slow groups would let in more than they complete.
	It("counts what endpoints complete that report to be slow as their capacity", func() {
		capacity := func() (found float64) {
			run()
			_, text, _ := strings.Cut(logged.String(), "overload_capacity=")
			fmt.Sscan(text, &found)
			return found
		}
		even := capacity()
		slowdown = 4
		Expect(capacity()).To(BeNumerically("~", even/4, 0.01))
		Expect(logged.String()).To(ContainSubstring("overload_slow_by_report=2"))
	})

	It("is held back, and not called overload, where endpoints want none", func() {
		limit = 0
		Expect(run().Reason).To(Equal(exchange.HeldBack))
	})

	It("is kept once it was sent, although the load has risen since", func() {
		known := 1.0
		demand = func(string, string) overload.Demand { return overload.Demand{ByPriority: map[int]float64{0: known}} }
		broken := 0
		Expect(run(func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
			if known = 1e9; broken > 0 {
				return answers(200, io.EOF, event(5))(ctx, call)
			}
			broken++
			return nil, &exchange.NotRunError{}
		})).To(BeNil())
		Expect(sent.calls).To(HaveLen(2))
	})
})
