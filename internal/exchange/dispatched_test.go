package exchange_test

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A request for which a dispatcher is asked", func() {
	var answer dispatch.Answer
	var local dispatch.LocalReason
	var asked int
	var meanwhile func() // what happens while the dispatcher is asked
	var caller context.Context
	var excluded []string
	var lastEvent string
	var demand overload.Demand
	var targets []*placement.Target
	var sent *transport
	var logged *strings.Builder
	var set *metrics.Set
	run := func() *exchange.Failure {
		set, logged = metrics.NewSet(), &strings.Builder{}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View {
				return &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}}
			}, Transport: sent, Daemons: func() int { return 20 }, GossipDelay: func() time.Duration { return 300 * time.Millisecond },
			Demand: func(string, string) overload.Demand { return demand },
			Dispatch: func(_ context.Context, _ *exchange.Request, unusable func() ([]string, bool)) dispatch.Outcome {
				asked++
				meanwhile()
				excluded, _ = unusable()
				return dispatch.Outcome{Asked: true, By: "hub", Answer: answer, Local: local}
			},
			Suspects: suspect.NewTable(suspect.Policy{}), OwnsTrial: func(suspect.Trait) bool { return false }, FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(set),
			Logger: slog.New(slog.NewTextHandler(logged, nil)), Retries: exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second}, BodyLimit: 100,
			ReportSuspect: func(*placement.Target, string, bool) {},
		})
		now := time.Now()
		service := &catalog.Service{
			Name: "s", RanksRoutes: true, Models: []catalog.Model{{Name: "m", GroupSize: 1}},
			Performance: &catalog.PerformanceModel{Slots: 40, StepsPerPass: 5, StepDuration: 10 * time.Millisecond, PrefillTokensPerSecond: 50000, MeanPromptTokens: 700, MeanOutputTokens: 150},
		}
		return x.Run(caller, &exchange.Request{
			ID: "r", Route: &catalog.Route{Name: "r", Kind: catalog.Streaming, MaxAttempts: 2}, Service: service, Model: "m", LastEvent: lastEvent, Arrived: now, Deadline: now.Add(2 * time.Second),
		}, &sink{})
	}
	counted := func() string {
		var text strings.Builder
		set.WritePrometheus(&text)
		return text.String()
	}
	BeforeEach(func() {
		meanwhile, caller = func() {}, context.Background()
		answer, local, asked, excluded, lastEvent, demand = dispatch.Answer{}, "", 0, nil, "", overload.Demand{}
		targets, sent = nil, &transport{scripts: map[string][]script{}}
		for i, key := range []string{"idle", "busy"} {
			meter := targetstats.NewMeter()
			meter.SetRemoteInFlight(60 * i) // as this daemon knows it, late
			targets = append(targets, &placement.Target{Key: key, ID: key, Slots: 40, Group: key, Meter: meter, Limit: targetstats.NewLimits().GetOrCreate(key, 1)})
			sent.scripts[key] = []script{answers(200, io.EOF, event(5))}
		}
	})

	// Guards against requests that are sent for callers that left while the dispatcher was asked.
	It("is not sent if its caller leaves while the dispatcher is asked", func() {
		var leave context.CancelFunc
		caller, leave = context.WithCancel(context.Background())
		meanwhile = leave
		answer = dispatch.Answer{Target: "busy"}
		Expect(run().Reason).To(Equal(exchange.CallerGone))
		Expect(sent.calls).To(BeEmpty())
	})

	// Guards against attempts that begin with no time left, in a process that stood still.
	It("is not sent if its time is over once the dispatcher has answered", func() {
		meanwhile = func() { time.Sleep(2005 * time.Millisecond) }
		answer = dispatch.Answer{Target: "busy"}
		failure := run()
		Expect(failure.Reason).To(Equal(exchange.DeadlineExceeded))
		Expect(failure.NotRun).To(BeTrue())
		Expect(sent.calls).To(BeEmpty())
	})

	It("goes to the target of the answer, although what this daemon knows says that it is full", func() {
		answer.Target = "busy"
		Expect(run()).To(BeNil())
		Expect(sent.calls).To(Equal([]string{"busy"}))
		Expect(counted()).To(ContainSubstring(`plantainmux_dispatched_total{outcome="placed"} 1`))
		Expect(logged.String()).To(ContainSubstring("dispatched=true dispatcher=hub"))
	})
	DescribeTable("is placed by the daemon itself, and the reason counted, if the answer cannot be followed", func(change func(), reason string) {
		answer.Target = "busy"
		change()
		Expect(run()).To(BeNil())
		Expect(sent.calls).To(Equal([]string{"idle"}))
		Expect(counted()).To(ContainSubstring(`plantainmux_dispatch_local_total{reason="` + reason + `"} 1`))
	},
		Entry("no answer", func() { local = dispatch.TimedOut }, "timeout"),
		Entry("unknown target", func() { answer.Target = "gone" }, "unknown_target"),
		Entry("target of a data centre that is evacuated meanwhile", func() { meanwhile = func() { targets = targets[:1] } }, "unknown_target"),
		Entry("suspected target", func() { targets[1].Meter.Suspect(time.Now(), time.Second) }, "unusable_target"),
		Entry("target that takes no request of this daemon", func() { targets[1].Limit.Observe(0, time.Now()) }, "unusable_target"),
		Entry("unusable target of an admitted request, although this daemon would admit none", func() {
			answer.Target, demand = "gone", overload.Demand{ByPriority: map[int]float64{0: 1e9}}
		}, "unknown_target"),
	)
	It("is counted against the limit of the target, so that the next one does not exceed it", func() {
		answer.Target = "busy"
		past := time.Now().Add(-10 * time.Second)
		targets[1].Limit.MarkCold(time.Now().Add(time.Minute), past)
		targets[1].Limit.SetColdShare(0.1, past) // one request by now
		Expect(run()).To(BeNil())
		Expect(run()).To(BeNil())
		Expect(sent.calls).To(Equal([]string{"busy", "idle"}))
	})
	It("tells the dispatcher which targets this daemon may not use", func() {
		answer.Target = "idle"
		targets[1].Meter.Suspect(time.Now(), time.Second)
		Expect(run()).To(BeNil())
		Expect(excluded).To(Equal([]string{"busy"}))
	})
	DescribeTable("is refused as the dispatcher says, not run, with its time to come back", func(refused dispatch.Refusal, reason exchange.Reason) {
		answer = dispatch.Answer{Refused: refused, RetryAfterMS: 700}
		failure := run()
		Expect(failure.Reason).To(Equal(reason))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(Equal(700 * time.Millisecond))
		Expect(sent.calls).To(BeEmpty())
	},
		Entry("overload", dispatch.Overload, exchange.Overloaded),
		Entry("all groups full", dispatch.NoRoom, exchange.NoCapacity),
	)
	It("asks for its first attempt only", func() {
		answer.Target = "busy"
		sent.scripts["busy"] = []script{failsWith(&exchange.NotRunError{})}
		Expect(run()).To(BeNil())
		Expect(sent.calls).To(Equal([]string{"busy", "idle"}))
		Expect(asked).To(Equal(1))
	})
	It("does not ask where it resumes a stream of the caller", func() {
		lastEvent = "4"
		Expect(run()).To(BeNil())
		Expect(asked).To(BeZero())
	})
})
