package placement_test

import (
	"cmp"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// production is the placement under test.
func production(targets []*placement.Target, demand placement.Demand) *placement.Target {
	target, _ := placement.Pick(targets, demand)
	return target
}

// leastReported chooses the target with the least reported load, if it has capacity.
func leastReported(targets []*placement.Target, _ placement.Demand) *placement.Target {
	least := slices.MinFunc(targets, func(a, b *placement.Target) int { return cmp.Compare(a.Meter.Load(), b.Meter.Load()) })
	if least.Meter.Load() >= least.Slots+2 {
		return nil
	}
	return least
}

// bySquaredCapacity is the previous placement: random, weighted by the square of the
// free capacity.
func bySquaredCapacity(targets []*placement.Target, demand placement.Demand) *placement.Target {
	total := 0.0
	weights := make([]float64, len(targets))
	for i, target := range targets {
		if target.Meter.Load() >= target.Slots+2 {
			continue
		}
		free := max(1-float64(target.Meter.Load()+1)/float64(target.Slots), 0.02)
		weights[i] = free * free
		total += weights[i]
	}
	remaining := demand.Random * total
	for i, weight := range weights {
		remaining -= weight
		if remaining < 0 {
			return targets[i]
		}
	}
	return nil
}

// amongAvailable chooses among the targets with capacity only, as placement does for a
// resumed stream.
func amongAvailable(targets []*placement.Target, demand placement.Demand) *placement.Target {
	var available []*placement.Target
	for _, target := range targets {
		if target.Meter.Load() < target.Slots+2 {
			available = append(available, target)
		}
	}
	return production(available, demand)
}

var _ = Describe("Placement by many daemons with stale views of each other", func() {
	// The normal load of a large fleet after the loss of a fabric domain.
	simulate := func(choose chooser, change func(*simulation)) outcome {
		f := &simulation{
			daemons: 89, groups: 9, slots: 48, rate: 290, promptTokens: 714, answerTokens: 150,
			publishInterval: 100 * time.Millisecond, deliveryDelay: 150 * time.Millisecond, duration: 20 * time.Second, choose: choose,
		}
		if change != nil {
			change(f)
		}
		result := f.run()
		GinkgoWriter.Printf("goodput %.3f in time %.3f late %.3f refused %.3f of %d\n", result.goodput(), result.inTimeShare(),
			float64(result.late)/float64(result.arrived), float64(result.refused)/float64(result.arrived), result.arrived)
		return result
	}

	It("answers more requests in time than by least load, by squared capacity, or without hubs", func() {
		now := simulate(production, nil).inTimeShare()
		Expect(now).To(BeNumerically(">", simulate(leastReported, nil).inTimeShare()))
		Expect(now).To(BeNumerically(">", simulate(bySquaredCapacity, nil).inTimeShare()))
		Expect(now).To(BeNumerically(">", simulate(production, publishEverySecond).inTimeShare()))
	})

	DescribeTable("has no lower goodput than any alternative, from three quarters of the capacity to overload", func(rate float64) {
		const tolerance = 0.02 // two standard errors of a simulation of about 6,000 requests
		at := func(change func(*simulation)) func(*simulation) {
			return func(f *simulation) {
				f.rate = rate
				change(f)
			}
		}
		now := simulate(production, at(func(*simulation) {})).goodput()
		for _, alternative := range alternatives {
			By(alternative.name)
			Expect(now).To(BeNumerically(">=", simulate(alternative.choose, at(alternative.change)).goodput()-tolerance), alternative.name)
		}
	},
		Entry("230 requests a second", 230.0),
		Entry("260 requests a second", 260.0),
		Entry("290 requests a second", 290.0),
		Entry("310 requests a second", 310.0),
		Entry("340 requests a second", 340.0),
	)

	It("serves over nine tenths of the capacity in time when overloaded by a fifth", func() {
		const capacity = 317.0 // requests a second that nine fully loaded groups answer
		overloaded := simulate(production, func(f *simulation) { f.rate = 1.2 * capacity })
		Expect(overloaded.inTimeShare() * 1.2).To(BeNumerically(">", 0.9))
		Expect(overloaded.late).To(BeNumerically("<", overloaded.refused))
	})

	DescribeTable("has higher goodput than least load when a few daemons overload the groups", func(rate float64) {
		few := func(f *simulation) { f.daemons, f.groups, f.deliveryDelay, f.rate = 8, 5, 50*time.Millisecond, rate }
		Expect(simulate(production, few).goodput()).To(BeNumerically(">", simulate(leastReported, few).goodput()))
	},
		Entry("190 requests a second", 190.0),
		Entry("210 requests a second", 210.0),
	)

	DescribeTable("gains nothing from spreading retries over the whole remaining time instead of a short delay while groups fail periodically", func(rate float64) {
		withFailures := func(delay retryDelay) func(*simulation) {
			return func(f *simulation) {
				f.groups, f.rate, f.duration = 12, rate, 40*time.Second
				f.failing, f.failurePeriod, f.retryDelay = []int{0, 1, 2, 3}, 4*time.Second, delay
			}
		}
		const minDelay, jitter = 300 * time.Millisecond, 500 * time.Millisecond // as sent to refused callers
		shortDelay := func(_ time.Duration, random float64) time.Duration {
			return minDelay + time.Duration(random*float64(jitter))
		}
		fullDelay := func(remaining time.Duration, random float64) time.Duration {
			return minDelay + time.Duration(random*(0.3*float64(remaining)-float64(minDelay)))
		}
		Expect(simulate(production, withFailures(shortDelay)).goodput()).To(BeNumerically(">", simulate(production, withFailures(fullDelay)).goodput()-0.02))
	},
		Entry("330 requests a second", 330.0),
		Entry("350 requests a second", 350.0),
		Entry("380 requests a second", 380.0),
	)

	DescribeTable("makes fewer streams of few daemons late by limiting the prompts that wait for prefill at a group", func(rate float64) {
		opening := func(knownPrefill bool) func(*simulation) {
			return func(f *simulation) {
				f.daemons, f.groups, f.slots, f.deliveryDelay, f.rate, f.duration = 8, 6, 26, 50*time.Millisecond, rate, 40*time.Second
				f.promptTokens, f.answerTokens, f.timeScale, f.objective, f.maxPause = 1665, 120, 1, 400*time.Millisecond, 200*time.Millisecond
				f.failing, f.failurePeriod, f.knownPrefill = []int{0, 1}, 6*time.Second, knownPrefill
			}
		}
		known, unknown := simulate(production, opening(true)), simulate(production, opening(false))
		Expect(known.goodput()).To(BeNumerically(">", unknown.goodput()))
		Expect(known.late).To(BeNumerically("<", unknown.late))
	},
		Entry("45 requests a second", 45.0),
		Entry("60 requests a second", 60.0),
		Entry("75 requests a second", 75.0),
	)

	It("ignores the prompts that wait for prefill with many daemons, whose reports are too old", func() {
		opening := func(knownPrefill bool) func(*simulation) {
			return func(f *simulation) {
				f.groups, f.rate, f.promptTokens, f.answerTokens = 6, 75, 1665, 100
				f.timeScale, f.objective, f.maxPause = 1, 400*time.Millisecond, 220*time.Millisecond
				f.failing, f.failurePeriod, f.knownPrefill = []int{0, 1}, 6*time.Second, knownPrefill
			}
		}
		Expect(simulate(production, opening(true))).To(Equal(simulate(production, opening(false))))
	})

	DescribeTable("gains nothing from ordering the short queues of the groups by value", func(rate float64) {
		now := simulate(production, func(f *simulation) { f.rate = rate }).goodput()
		highValueFirst := simulate(production, func(f *simulation) { f.rate, f.highValueFirst = rate, true }).goodput()
		Expect(highValueFirst).To(BeNumerically("~", now, 0.02))
	},
		Entry("290 requests a second", 290.0),
		Entry("310 requests a second", 310.0),
		Entry("340 requests a second", 340.0),
	)
})

func publishEverySecond(f *simulation) { f.publishInterval, f.deliveryDelay = 1100*time.Millisecond, 0 }

// alternatives are the other placements that were considered.
var alternatives = []struct {
	name   string
	choose chooser
	change func(*simulation)
}{
	{"only targets with capacity weighted", amongAvailable, func(*simulation) {}},
	{"least load", leastReported, func(*simulation) {}},
	{"squared capacity", bySquaredCapacity, func(*simulation) {}},
	{"published once a second, as without hubs", production, publishEverySecond},
	{"polled group reports", production, func(f *simulation) { f.pollAge = 400 * time.Millisecond }},
	{"batch limited to five sixths of the slots", production, func(f *simulation) { f.batchLimit = 40 }},
	{"own requests only", production, func(f *simulation) { f.isolated = true }},
}
