package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
)

var performance = &catalog.PerformanceModel{
	Slots: 30, StepsPerPass: 7, StepDuration: 6 * time.Millisecond, PerRequest: 45 * time.Microsecond, PrefillChunkTokens: 2048, PrefillTokensPerSecond: 50700,
}

var _ = Describe("The choice of a dispatcher", func() {
	target := func(load, promptTokens int) dispatch.Target {
		return dispatch.Target{Local: true, Slots: 30, Load: load, PromptTokens: promptTokens, MeanGap: 60 * time.Millisecond}
	}
	var in dispatch.Input
	choose := func(targets ...dispatch.Target) int {
		in.Targets = targets
		return dispatch.Choose(in)
	}
	BeforeEach(func() {
		in = dispatch.Input{Performance: performance, Model: &catalog.Model{StepTimeFactor: 1}, PromptTokens: 1000}
	})

	It("keeps a prompt from a group that is less loaded but reads a long one", func() {
		Expect(choose(target(5, 5000), target(25, 500))).To(Equal(1))
	})
	It("does not leave a group empty when prompts make no difference", func() {
		Expect(choose(target(6, 0), target(4, 0), target(5, 0))).To(Equal(1))
	})
	It("does not send to another data centre for a few milliseconds, nor queue here for many", func() {
		other := target(5, 0)
		other.Local = false
		Expect(choose(other, target(5, 700))).To(Equal(1))
		Expect(choose(other, target(5, 4000))).To(BeZero())
	})
	It("avoids a group that is measured as slow, whose published pace does not hold", func() {
		slow := target(2, 0)
		slow.MeanGap = 180 * time.Millisecond
		Expect(choose(slow, target(10, 900))).To(Equal(1))
	})
	// Guards against requests to slow groups of which the dispatcher has measured no stream.
	It("avoids a group whose endpoints report that it is slow, not one that reports noise", func() {
		reporting := func(slowdown float64) dispatch.Target {
			return dispatch.Target{Local: true, Slots: 30, Load: 2, Slowdown: slowdown}
		}
		Expect(choose(reporting(4), target(10, 900))).To(Equal(1))
		Expect(choose(reporting(1.2), target(10, 900))).To(BeZero())
		unmeasured := target(2, 0)
		unmeasured.MeanGap = 0
		Expect(choose(reporting(2), unmeasured)).To(Equal(1), "the load term is scaled as well")
	})
	// Guards against idle groups that are normal again but report their old slowdown, and against a slow
	// group that counts as normal by its own gap alone.
	It("believes a normal gap more than a report, if another group shows what is normal", func() {
		slow, other := target(2, 0), target(10, 900)
		slow.Slowdown = 4
		Expect(choose(slow, other)).To(BeZero())
		slow.MeanGap *= 4
		Expect(choose(slow, other)).To(Equal(1))
		other.MeanGap = 0
		Expect(choose(slow, other)).To(Equal(1), "no other gap is known")
	})
	It("uses groups that all report to be slow", func() {
		slow, slower := target(2, 0), target(2, 0)
		slow.Slowdown, slower.Slowdown = 3, 4
		Expect(choose(slower, slow)).To(Equal(1))
	})
	It("queues no more at full groups than daemons that choose by themselves", func() {
		Expect(choose(target(32, 0), target(31, 0))).To(Equal(1))
		Expect(choose(target(32, 0))).To(Equal(-1))
		in.Admitted = true
		Expect(choose(target(39, 0))).To(BeZero())
		Expect(choose(target(40, 0))).To(Equal(-1))
	})
	It("leaves the last slots to requests that can be in time", func() {
		in.Late = true
		Expect(choose(target(26, 0))).To(Equal(-1))
		Expect(choose(target(25, 0))).To(BeZero())
	})
})

var _ = Describe("The table of assignments", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var table dispatch.Table
	BeforeEach(func() {
		table = dispatch.Table{}
		table.Add("n", "g", 700, false, at(0))
	})
	assigned := func(ms int) dispatch.Assigned { return table.Assigned(at(ms))["g"] }

	It("counts no request twice that a report contains, and none too few that a report may not contain", func() {
		table.Review(map[string]time.Time{"n": at(4), "other": at(90)}, at(100))
		Expect(assigned(100)).To(Equal(dispatch.Assigned{Requests: 1, PromptTokens: 700}))
		table.Review(map[string]time.Time{"n": at(104)}, at(110))
		Expect(assigned(110)).To(Equal(dispatch.Assigned{PromptTokens: 700}))
		Expect(assigned(251)).To(BeZero())
	})
	It("forgets what a daemon was assigned that is gone", func() {
		table.Review(nil, at(590))
		Expect(assigned(590).Requests).To(Equal(1))
		table.Review(nil, at(610))
		Expect(assigned(610)).To(BeZero())
	})
	// Guards against loads of some 0.5 s that a dispatcher of more than 200 daemons does not know of:
	// 220 daemons report every 660 ms.
	It("counts what a daemon was assigned until it reports, however long the interval is", func() {
		table.ReportInterval = 660 * time.Millisecond
		for ms := 20; ms < 660; ms += 20 {
			table.Review(nil, at(ms))
			Expect(assigned(ms).Requests).To(Equal(1))
		}
		table.Review(map[string]time.Time{"n": at(-1)}, at(3900))
		Expect(assigned(3900).Requests).To(Equal(1), "five reports are lost")
		table.Review(map[string]time.Time{"n": at(-1)}, at(3980))
		Expect(assigned(3980)).To(BeZero())
		table.Add("n", "g", 700, false, at(4000))
		table.Review(map[string]time.Time{"n": at(4500)}, at(4510))
		Expect(assigned(4510)).To(BeZero(), "reported")
	})
	// Guards against sums that drift away from the assignments.
	It("counts the same as a recount of all assignments, in any order of events", func() {
		type request struct {
			daemon, target string
			tokens, ms     int
			reported       bool
		}
		table, now := dispatch.Table{ReportInterval: 150 * time.Millisecond}, 0
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 0))
		name := func(kind string, of int) string { return fmt.Sprint(kind, random.IntN(of)) }
		var requests []request
		receivedAt := map[string]time.Time{}
		for range 5000 {
			now += random.IntN(10)
			switch random.IntN(3) {
			case 0:
				r := request{daemon: name("n", 3), target: name("g", 3), tokens: random.IntN(1000), ms: now, reported: random.IntN(4) == 0}
				requests = append(requests, r)
				table.Add(r.daemon, r.target, r.tokens, r.reported, at(r.ms))
			case 1:
				if random.IntN(20) == 0 {
					receivedAt[name("n", 3)] = at(now)
				}
				table.Review(receivedAt, at(now))
				for i := range requests {
					r := &requests[i]
					r.reported = r.reported || receivedAt[r.daemon].Sub(at(r.ms)) > 5*time.Millisecond || now-r.ms > 900
				}
			default:
			}
			expected := map[string]dispatch.Assigned{}
			for _, r := range requests {
				sum := expected[r.target]
				if !r.reported {
					sum.Requests++
				}
				if now-r.ms <= 250 {
					sum.PromptTokens += r.tokens
				}
				expected[r.target] = sum
			}
			for _, target := range []string{"g0", "g1", "g2"} {
				Expect(table.Assigned(at(now))[target]).To(Equal(expected[target]))
			}
		}
	})
	It("does not count requests of the dispatcher itself beyond those in progress", func() {
		table.Add("self", "g", 300, true, at(0))
		Expect(assigned(1)).To(Equal(dispatch.Assigned{Requests: 1, PromptTokens: 1000}))
	})
})

var _ = Describe("The accumulators of admission", func() {
	It("refuse every fifth request of each priority and team by a fraction of 0.8, without runs of refusals", func() {
		var a dispatch.Accumulators
		var refused []int
		for i := range 50 {
			if !a.Admit(0, "t", 0.8) {
				refused = append(refused, i)
			}
			if i == 10 {
				Expect(a.Admit(1, "t", 0.8)).To(BeTrue(), "the first request of a pair")
			}
		}
		Expect(refused).To(HaveLen(10))
		for i := 1; i < len(refused); i++ {
			Expect(refused[i] - refused[i-1]).To(BeNumerically("~", 5, 1))
		}
	})
	It("admit nothing by a fraction of 0", func() {
		var a dispatch.Accumulators
		for range 10 {
			Expect(a.Admit(0, "", 0)).To(BeFalse())
		}
	})
})

var _ = Describe("The use of dispatchers", func() {
	DescribeTable("is limited to the loads for which it gains", func(change func(*catalog.Service, *catalog.Route), expected bool) {
		service := &catalog.Service{Name: "s", Performance: performance, Models: []catalog.Model{{Name: "m"}}}
		route := &catalog.Route{Kind: catalog.Streaming, LatencyTarget: 400 * time.Millisecond}
		change(service, route)
		Expect(dispatch.Applies(service, "m", route)).To(Equal(expected))
	},
		Entry("target above the longest pass", func(*catalog.Service, *catalog.Route) {}, false),
		Entry("target below the longest pass", func(_ *catalog.Service, r *catalog.Route) { r.LatencyTarget = 300 * time.Millisecond }, true),
		Entry("the same without streaming", func(_ *catalog.Service, r *catalog.Route) {
			r.Kind, r.LatencyTarget = catalog.Safe, 300*time.Millisecond
		}, false),
		Entry("no target", func(_ *catalog.Service, r *catalog.Route) { r.LatencyTarget = 0 }, false),
		Entry("ranked routes", func(s *catalog.Service, _ *catalog.Route) { s.RanksRoutes = true }, true),
		Entry("ranked routes, unknown model", func(s *catalog.Service, _ *catalog.Route) { s.RanksRoutes, s.Models = true, nil }, false),
		Entry("ranked routes, no published performance", func(s *catalog.Service, _ *catalog.Route) { s.RanksRoutes, s.Performance = true, nil }, false),
	)
})
