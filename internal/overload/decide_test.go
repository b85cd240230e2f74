package overload_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/overload"
)

var _ = Describe("The decision on a request under overload", func() {
	// input is eight groups of the build farm's smaller model, which complete some 260 requests a
	// second at the load aimed at.
	input := func(load int, byPriority map[int]float64) overload.Input {
		in := overload.Input{
			Performance: &catalog.PerformanceModel{
				Slots: 48, StepsPerPass: 5, PrefillChunkTokens: 2048, StepDuration: 6450 * time.Microsecond, PerRequest: 96700 * time.Nanosecond,
				PrefillTokensPerSecond: 56100, MeanPromptTokens: 714, MeanOutputTokens: 150,
			},
			Model:  &catalog.Model{Name: "m", StepTimeFactor: 0.6},
			Demand: overload.Demand{ByPriority: byPriority}, Daemons: 86, Delay: 400 * time.Millisecond,
		}
		for range 8 {
			in.Targets = append(in.Targets, overload.Target{Load: load})
		}
		return in
	}

	It("computes the capacity by the published formula", func() {
		Expect(overload.Decide(input(38, map[int]float64{0: 500})).Capacity).To(BeNumerically("~", 8*32.0, 4))
	})

	It("admits a fraction of capacity by demand at the load aimed at", func() {
		d := overload.Decide(input(38, map[int]float64{0: 512}))
		Expect(d.Limited).To(BeTrue())
		Expect(d.Fraction).To(BeNumerically("~", 0.5, 0.03))
	})

	DescribeTable("refuses nothing while there is room, or where it cannot judge", func(change func(*overload.Input)) {
		in := input(38, map[int]float64{0: 567})
		in.Random = 0.999
		change(&in)
		d := overload.Decide(in)
		Expect(d.Admit).To(BeTrue())
		Expect(d.Limited).To(BeFalse())
	},
		Entry("demand below capacity", func(in *overload.Input) { in.Demand.ByPriority[0] = 240 }),
		Entry("a burst that empty groups take within the horizon", func(in *overload.Input) { in.Targets = input(5, nil).Targets }),
		Entry("late, below capacity", func(in *overload.Input) { in.Demand.ByPriority[0], in.Late = 240, true }),
		Entry("few daemons", func(in *overload.Input) { in.Daemons = 15 }),
		Entry("unknown demand", func(in *overload.Input) { in.Demand = overload.Demand{} }),
		Entry("impossible demand", func(in *overload.Input) { in.Demand.ByPriority[1] = math.NaN() }),
		Entry("no target", func(in *overload.Input) { in.Targets = nil }),
		Entry("no published performance", func(in *overload.Input) { in.Performance = nil }),
		Entry("empty performance", func(in *overload.Input) { in.Performance = &catalog.PerformanceModel{} }),
	)

	It("refuses late requests first", func() {
		in := input(38, map[int]float64{0: 300})
		in.Late = true
		Expect(overload.Decide(in).Admit).To(BeFalse())
	})

	It("serves no priority less than a less urgent one, and each at least 0.35 of the fraction of all", func() {
		for _, rates := range []map[int]float64{{0: 300, 1: 200}, {0: 20, 1: 400, 2: 400}, {1: 900, 9: 10}} {
			for load := 0; load <= 60; load += 5 {
				served, demand := 0.0, 0.0
				fractions := map[int]float64{}
				for priority, rate := range rates {
					in := input(load, rates)
					in.Priority = priority
					d := overload.Decide(in)
					fractions[priority] = d.Fraction
					served += d.Fraction * rate
					demand += rate
				}
				for p, fraction := range fractions {
					Expect(fraction).To(BeNumerically(">=", 0.35*served/demand-1e-9), fmt.Sprint(rates, load))
					for q, other := range fractions {
						Expect(p > q || fraction >= other-1e-9).To(BeTrue(), fmt.Sprint(rates, load, fractions))
					}
				}
				all := overload.Decide(input(load, map[int]float64{0: demand})).Fraction
				Expect(served/demand).To(BeNumerically("~", all, 0.01), "the priorities share what is admitted of all")
			}
		}
	})

	It("counts a group that takes few requests a second with these and with the load that they make", func() {
		in := input(38, map[int]float64{0: 567})
		even := overload.Decide(in)
		in.Targets[0].MaxRate = even.Capacity / 8 / 4
		in.Targets[0].Load = 38 / 4
		limited := overload.Decide(in)
		Expect(limited.Capacity).To(BeNumerically("~", even.Capacity*7.25/8, 0.01))
		Expect(limited.Fraction).To(BeNumerically("~", even.Fraction*7.25/8, 0.01))
		in.Targets[0].MaxRate = even.Capacity
		in.Targets[0].Load = 38
		Expect(overload.Decide(in)).To(Equal(even))
	})

	It("counts the capacity of a slow group by its measured speed", func() {
		in := input(38, map[int]float64{0: 567})
		for i := range in.Targets {
			in.Targets[i].MeanGap = 40 * time.Millisecond
		}
		even := overload.Decide(in).Capacity
		in.Targets[0].MeanGap = 160 * time.Millisecond
		Expect(overload.Decide(in).Capacity).To(BeNumerically("~", even*7.25/8, 0.01))
	})

	// Guards against admitting what slow groups do not complete, of which this daemon has measured nothing.
	DescribeTable("counts the capacity of a slow group by the slowdown that it reports, unless a normal gap is measured", func(slowdown float64, gap time.Duration, groups float64) {
		in := input(38, map[int]float64{0: 567})
		even := overload.Decide(in).Capacity
		in.Targets[0].Slowdown, in.Targets[0].MeanGap = slowdown, gap
		Expect(overload.Decide(in).Capacity / even * 8).To(BeNumerically("~", groups, 0.01))
	},
		Entry("not measured", 4.0, time.Duration(0), 7.25),
		Entry("noise", 1.2, time.Duration(0), 8.0),
		Entry("not reported", 0.0, time.Duration(0), 8.0),
		Entry("not a number", math.NaN(), time.Duration(0), 8.0),
		Entry("no longer slow", 4.0, 40*time.Millisecond, 8.0),
		Entry("a gap that shows it, of the only group that is measured", 4.0, 120*time.Millisecond, 7.25),
	)

	// Gaps of the larger model grow from 33 ms in a group with one request to over 100 ms in a full one,
	// most of it prompts that are read. A group that has just been formed again made all others count as
	// three times as slow, and the model lost most of its capacity in the decision.
	It("counts no loaded group as slow because another one has just been formed again", func() {
		for load := 24; load <= 48; load += 8 {
			in := input(load, map[int]float64{1: 47, 2: 29})
			in.Model = &catalog.Model{Name: "large", StepTimeFactor: 1}
			in.Demand.PromptTokens, in.Demand.OutputTokens = 1667, 102
			in.Targets = in.Targets[:5]
			capacity := overload.Decide(in).Capacity
			for i := range in.Targets {
				in.Targets[i].MeanGap = 106 * time.Millisecond // at 0.8 of the slots
			}
			in.Targets[0] = overload.Target{Load: 1, MeanGap: 34 * time.Millisecond}
			Expect(overload.Decide(in).Capacity).To(BeNumerically("~", capacity, 0.01), fmt.Sprint(load))
			in.Targets[1].MeanGap *= 3
			Expect(overload.Decide(in).Capacity).To(BeNumerically("<", 0.9*capacity), "one that is slow for its load still counts as slow")
		}
	})

	// One team that floods the model took the part of all others, as each was refused alike.
	It("gives each team its max-min fair share of what is admitted of its priority", func() {
		teams := []overload.TeamDemand{{Team: "small", Requests: 5}, {Team: "mean", Requests: 25}, {Team: "flood", Requests: 70}}
		admitted := map[string]float64{}
		for _, team := range teams {
			in := input(38, map[int]float64{0: 512})
			all := overload.Decide(in).Fraction
			in.Team, in.Teams = team.Team, teams
			admitted[team.Team] = overload.Decide(in).Fraction * team.Requests
			admitted["all"] = all * 100
		}
		Expect(admitted["small"]).To(BeNumerically("~", 5, 1e-9), "asks for less than its share")
		Expect(admitted["mean"]).To(BeNumerically(">=", (admitted["all"]-5)/2-1e-9))
		Expect(admitted["small"]+admitted["mean"]+admitted["flood"]).To(BeNumerically("~", admitted["all"], 1e-6), "no more than without teams")
	})

	It("weights the shares", func() {
		in := input(38, map[int]float64{0: 512})
		in.Team, in.Teams = "a", []overload.TeamDemand{{Team: "a", Requests: 50, Weight: 3}, {Team: "b", Requests: 50}}
		a := overload.Decide(in).Fraction
		in.Team = "b"
		Expect(a).To(BeNumerically("~", 3*overload.Decide(in).Fraction, 1e-9))
	})

	DescribeTable("tells no team from another by chance", func(team string, teams ...overload.TeamDemand) {
		in := input(38, map[int]float64{0: 512})
		all := overload.Decide(in)
		in.Team, in.Teams = team, teams
		Expect(overload.Decide(in)).To(Equal(all))
	},
		Entry("few requests of all", "a", overload.TeamDemand{Team: "a", Requests: 3}, overload.TeamDemand{Team: "b", Requests: 1}),
		Entry("the team was not counted", "a", overload.TeamDemand{Team: "b", Requests: 30}),
		Entry("impossible counts", "a", overload.TeamDemand{Team: "a", Requests: -1}, overload.TeamDemand{Team: "b", Requests: 9}),
	)

	// Groups beyond the load aimed at outweighed one that had just been formed again: a third of the
	// requests was refused while most of its slots were free.
	It("fills a group that has room although the others are full, with no more than it takes until others know", func() {
		decide := func(demand float64) overload.Decision {
			in := input(0, map[int]float64{1: demand})
			in.Model = &catalog.Model{Name: "large", StepTimeFactor: 1}
			in.Demand.PromptTokens, in.Demand.OutputTokens = 1667, 102
			in.Targets = []overload.Target{{Load: 56}, {Load: 56}, {Load: 0}}
			return overload.Decide(in)
		}
		Expect(decide(80).Limited).To(BeFalse())
		Expect(decide(168).Fraction).To(BeNumerically("~", 0.5, 0.01), "0.7 of 48 slots within 0.4 s")
	})

	// All refused callers came back within 0.3 to 0.8 s, at whatever load, and were refused again.
	DescribeTable("tells refused callers to come back when what was refused before is covered", func(demand float64, late bool, remaining time.Duration, jitter float64, least, most time.Duration, noRoom bool) {
		in := input(38, map[int]float64{0: demand})
		in.Late, in.Remaining, in.Jitter, in.Random = late, remaining, jitter, 1
		d := overload.Decide(in)
		Expect(d.Admit).To(BeFalse())
		Expect(d.RetryAfter).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		Expect(d.NoRoom).To(Equal(noRoom))
	},
		Entry("at 1.05 times the capacity, at once", 270.0, false, 9*time.Second, 0.0, 300*time.Millisecond, 300*time.Millisecond, false),
		Entry("with up to half of the time as jitter", 270.0, false, 9*time.Second, 1.0, 450*time.Millisecond, 450*time.Millisecond, false),
		Entry("at 1.5 times, after a second", 385.0, false, 9*time.Second, 0.0, 900*time.Millisecond, 1100*time.Millisecond, false),
		Entry("never later than they wait for", 385.0, false, 3100*time.Millisecond, 1.0, time.Second, 1034*time.Millisecond, false),
		Entry("no room at 3 times", 770.0, false, 9*time.Second, 0.5, 3*time.Second, 3*time.Second, true),
		Entry("no room for those with little time left", 385.0, false, 600*time.Millisecond, 0.5, 200*time.Millisecond, 200*time.Millisecond, true),
		Entry("late ones like the others of their priority", 385.0, true, 9*time.Second, 0.0, 900*time.Millisecond, 1100*time.Millisecond, false),
		Entry("the deadline is not known", 770.0, false, time.Duration(0), 0.5, 2*time.Second, 2*time.Second, true),
	)
})
