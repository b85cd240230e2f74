package gateway

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A dispatcher", func() {
	now := time.Unix(1000, 0)
	var d *dispatcher
	var declined dispatch.Decline
	var loads map[uint32]gossip.Load
	var receivedAt map[string]time.Time
	var demand float64
	var targets []*placement.Target
	service := &catalog.Service{
		Name: "s", RanksRoutes: true, Models: []catalog.Model{{Name: "m"}},
		Performance: &catalog.PerformanceModel{Slots: 10, StepsPerPass: 5, StepDuration: 10 * time.Millisecond, PrefillTokensPerSecond: 50000, MeanPromptTokens: 700, MeanOutputTokens: 150},
	}
	call := dispatch.Call{Service: "s", Model: "m", PromptTokens: 700}
	// placed asks for a number of requests and returns how many each target got.
	placed := func(requests int) map[string]int {
		counts := map[string]int{}
		for range requests {
			counts[d.answer("n", call, now).Target]++
		}
		return counts
	}
	load := func(count int) gossip.Load { return gossip.Load{Count: count} }
	BeforeEach(func() {
		declined, loads, receivedAt, demand, targets = "", map[uint32]gossip.Load{}, map[string]time.Time{"n": now}, 0, nil
		for i := range 3 {
			key := fmt.Sprintf("g%d", i)
			targets = append(targets, &placement.Target{Key: key, ID: key, DataCentre: "z", Slots: 10, Group: key, Meter: targetstats.NewMeter()})
		}
		view := &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}}
		d = newDispatcher(dispatcherDependencies{
			self: "self", dataCentre: "z", view: func() *placement.View { return view },
			catalog:  func() *catalog.Catalog { return &catalog.Catalog{Services: map[string]*catalog.Service{"s": service}} },
			reported: func(time.Time) (map[uint32]gossip.Load, map[string]time.Time) { return loads, receivedAt },
			demand:   func(string, string) overload.Demand { return overload.Demand{ByPriority: map[int]float64{0: demand}} },
			daemons:  func() int { return 30 }, delay: func() time.Duration { return 300 * time.Millisecond },
			declines: func() dispatch.Decline { return declined }, metrics: metrics.NewSet(),
		})
		d.setActing(true)
		d.review(now)
	})

	It("spreads requests that come between two reports", func() {
		loads[gossip.HashKey("g0")] = load(3)
		d.review(now)
		Expect(placed(9)).To(Equal(map[string]int{"g0": 3, "g1": 3, "g2": 3}))
	})
	It("counts a request once, in the table or in the report of its daemon", func() {
		placed(30)
		Expect(d.answer("n", call, now).Target).NotTo(BeEmpty(), "up to two may queue")
		for i := range targets {
			loads[gossip.HashKey(targets[i].Key)] = load(10)
		}
		receivedAt["n"] = now.Add(50 * time.Millisecond)
		d.review(now.Add(60 * time.Millisecond))
		Expect(placed(7)).To(HaveKeyWithValue("", 1), "two queue at each of three")
	})
	It("refuses what the groups do not complete, with a time to come back, while slots are in use", func() {
		demand = 1e6
		for i := range targets {
			loads[gossip.HashKey(targets[i].Key)] = load(9)
		}
		d.review(now)
		call := call
		call.RemainingMS = 6000
		answer := d.answer("n", call, now)
		Expect(answer.Refused).To(Equal(dispatch.Overload))
		Expect(answer.RetryAfterMS).To(BeNumerically("~", 1500, 500), "callers wait for a third of the time that they have left at most")
		Expect(answer.Limited).To(BeTrue())
		Expect(answer.Load).To(Equal(27.0))
	})
	DescribeTable("takes no group for slow of which it has measured nothing of late", func(measure func(*targetstats.Meter)) {
		stream := func(meter *targetstats.Meter, gap time.Duration, until time.Time) {
			for i := range 20 {
				meter.ObserveEvent(until.Add(time.Duration(i-20)*gap), gap)
			}
		}
		stream(targets[1].Meter, 30*time.Millisecond, now)
		stream(targets[2].Meter, 30*time.Millisecond, now)
		measure(targets[0].Meter)
		Expect(placed(9)).To(HaveKeyWithValue("g0", 3))
		stream(targets[0].Meter, 90*time.Millisecond, now)
		Expect(placed(9)["g0"]).To(BeNumerically("<", 3), "a group that is slow now")
	},
		Entry("a group that has just formed", func(*targetstats.Meter) {}),
		Entry("a group that was slow some seconds ago", func(meter *targetstats.Meter) {
			for i := range 20 {
				meter.ObserveEvent(now.Add(time.Duration(i-50)*100*time.Millisecond), 100*time.Millisecond)
			}
		}),
	)
	// Guards against a reported slowdown that is not used, or that outlasts a normal measurement.
	It("takes a group for slow that reports it, and admits less, until a normal gap is measured", func() {
		capacity := func() float64 { return d.answer("n", call, now).Capacity }
		demand = 1
		even := capacity()
		targets[0].Slowdown = 4
		Expect(placed(8)).NotTo(HaveKey("g0"))
		Expect(capacity()).To(BeNumerically("~", even*2.25/3, 0.01))
		var text strings.Builder
		d.metrics.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring("plantainmux_dispatch_slow_by_report_total 9"))
		for _, target := range targets {
			for i := range 20 {
				target.Meter.ObserveEvent(now.Add(time.Duration(i-20)*30*time.Millisecond), 30*time.Millisecond)
			}
		}
		Expect(placed(3)).To(HaveKey("g0"))
		Expect(capacity()).To(BeNumerically("~", even, 0.01))
	})
	It("does not choose for a daemon that it does not hear", func() {
		delete(receivedAt, "n")
		d.review(now)
		Expect(d.answer("n", call, now).Declined).To(Equal(dispatch.NoReport))
		receivedAt["n"] = now.Add(-dispatch.ReportTimeout(0) / 2)
		d.review(now)
		Expect(d.answer("n", call, now).Target).NotTo(BeEmpty())
	})
	It("bounds the length of a prompt that a caller states", func() {
		d.review(now)
		call := call
		call.PromptTokens = math.MaxInt
		Expect(d.answer("n", call, now).Target).NotTo(BeEmpty())
		call.PromptTokens = 100
		for range 5 {
			Expect(d.answer("n", call, now).Target).NotTo(BeEmpty())
		}
	})
	It("names no target that the daemon may not use, that is suspected, or that is full", func() {
		call := call
		call.Excluded = []string{"g0"}
		targets[1].Meter.Suspect(now, time.Second)
		for range 12 {
			Expect(d.answer("n", call, now).Target).To(Equal("g2"))
		}
		Expect(d.answer("n", call, now).Refused).To(Equal(dispatch.NoRoom))
		call.Excluded = []string{"g0", "g2"}
		Expect(d.answer("n", call, now).Declined).To(Equal(dispatch.NoTarget))
	})
	It("declines while it is stopping or cut off, is none, knows no reports yet, or does not know the model", func() {
		for _, declined = range []dispatch.Decline{dispatch.Stopping, dispatch.CutOff} {
			Expect(d.answer("n", call, now).Declined).To(Equal(declined))
		}
		declined = ""
		Expect(d.answer("n", dispatch.Call{Service: "s", Model: "other"}, now).Declined).To(Equal(dispatch.Unknown))
		d.setActing(false)
		Expect(d.answer("n", call, now).Declined).To(Equal(dispatch.NotDispatcher))
		d.setActing(true)
		Expect(d.answer("n", call, now).Declined).To(Equal(dispatch.NotDispatcher))
		d.review(now)
		Expect(d.answer("n", call, now).Target).NotTo(BeEmpty())
	})
})
