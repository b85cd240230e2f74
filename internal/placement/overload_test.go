package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	demandWindow = 2 * time.Second // over which daemons count the demand

	// farmCapacity is the number of requests a second that eight groups of the build farm's smaller
	// model complete with all slots in use.
	farmCapacity = 280.0
)

// retryShortly is the time after which refused callers come back, as the exchange tells them.
func retryShortly(_ time.Duration, random float64) time.Duration {
	return 300*time.Millisecond + time.Duration(random*float64(500*time.Millisecond))
}

// lostDataCentre is the build farm's smaller model, of which four of twelve groups are lost as a
// burst begins. The loads are known 0.3 to 0.5 s late.
func lostDataCentre(rate float64) *simulation {
	return &simulation{
		daemons: 86, groups: 12, slots: 48, publishInterval: 200 * time.Millisecond, deliveryDelay: 300 * time.Millisecond,
		promptTokens: 714, answerTokens: 150, latencyTarget: 250 * time.Millisecond, maxPause: 200 * time.Millisecond,
		lost: []int{0, 1, 2, 3}, lostAt: 4 * time.Second, measureFrom: 4 * time.Second, measureUntil: 12 * time.Second, duration: 16 * time.Second,
		retryDelay: retryShortly,
		rateAt: func(at time.Duration) float64 {
			if at < 4*time.Second {
				return min(315, rate)
			}
			return rate
		},
	}
}

// sustained is the same load from 4 s after the loss on.
func sustained(rate float64) *simulation {
	f := lostDataCentre(rate)
	f.measureFrom, f.measureUntil, f.duration = 8*time.Second, 14*time.Second, 17*time.Second
	return f
}

// longPrompts is the book sellers' larger model at a factor of its mean load, with or without its
// wave. Prompts are what is scarce.
func longPrompts(factor, wave float64) *simulation {
	return &simulation{
		daemons: 35, groups: 6, slots: 30, publishInterval: 200 * time.Millisecond, deliveryDelay: 100 * time.Millisecond,
		engine: simEngine{stepsPerPass: 7, stepTime: 5950 * time.Microsecond, decodeTime: 44500 * time.Nanosecond, prefillRate: 50.7, maxPromptTokens: 5900},
		classes: []simClass{
			{share: 0.6, promptTokens: 1460, answerTokens: 175, latencyTarget: 300 * time.Millisecond, priority: 1},
			{share: 0.4, promptTokens: 2000, answerTokens: 21, latencyTarget: 400 * time.Millisecond, priority: 1},
		},
		timeScale: 1, maxPause: 300 * time.Millisecond, measureFrom: 4 * time.Second, measureUntil: 34 * time.Second, duration: 40 * time.Second,
		retryDelay: retryShortly,
		rateAt: func(at time.Duration) float64 {
			return 62.8 * factor * (1 + wave*math.Sin(2*math.Pi*at.Seconds()/15))
		},
	}
}

// twoPriorities is the build farm's larger model at a factor of its mean load, with six groups.
func twoPriorities(factor float64) *simulation {
	f := lostDataCentre(47.7 * factor)
	f.groups, f.lost, f.timeScale, f.maxPause = 6, nil, 1, 300*time.Millisecond
	f.classes = []simClass{
		{share: 0.616, promptTokens: 1460, answerTokens: 150, latencyTarget: 400 * time.Millisecond, priority: 1},
		{share: 0.384, promptTokens: 2000, answerTokens: 25, latencyTarget: 800 * time.Millisecond, priority: 2},
	}
	f.measureFrom, f.measureUntil, f.duration = 8*time.Second, 28*time.Second, 34*time.Second
	return f
}

// demand is the demand as daemons know it: of a window, late.
func (f *simulation) demand() overload.Demand {
	last := int((f.now - f.publishInterval - f.deliveryDelay) / simTick)
	window := int(demandWindow / simTick)
	if last < window {
		return overload.Demand{}
	}
	if last == f.demandTick {
		return f.knownDemand
	}
	d := overload.Demand{ByPriority: map[int]float64{}}
	count := 0.0
	for _, tick := range f.arrivals[last-window : last] {
		for i, n := range tick {
			class := f.class(i)
			d.ByPriority[class.priority] += float64(n) / demandWindow.Seconds()
			d.PromptTokens += float64(n) * class.promptTokens
			d.OutputTokens += float64(n) * class.answerTokens
			count += float64(n)
		}
	}
	d.PromptTokens /= max(count, 1)
	d.OutputTokens /= max(count, 1)
	f.demandTick, f.knownDemand = last, d
	return d
}

// admitting is the production placement behind the decision under overload.
func (f *simulation) admitting(targets []*placement.Target, requirements placement.Requirements) *placement.Target {
	if requirements.Resumed {
		return production(targets, requirements)
	}
	in := overload.Input{
		Performance: &catalog.PerformanceModel{
			Slots: f.slots, StepsPerPass: f.engine.stepsPerPass, StepDuration: f.engine.stepTime, PerRequest: f.engine.decodeTime, PrefillTokensPerSecond: 1000 * f.engine.prefillRate,
		},
		Model:  &catalog.Model{StepTimeFactor: cmp.Or(f.timeScale, simTimeScale)},
		Demand: f.demand(), Priority: requirements.Priority, Late: requirements.Late, Daemons: requirements.Daemons, Delay: requirements.GossipDelay, Random: f.decisions.Float64(),
	}
	for _, target := range targets {
		in.Targets = append(in.Targets, overload.Target{Load: target.Meter.Load()})
	}
	decision := overload.Decide(in)
	if !decision.Admit {
		return nil
	}
	requirements.Admitted = decision.Limited
	return production(targets, requirements)
}

// sumOf runs a load with each of the seeds, with the decision under overload or without it.
func sumOf(name string, withDecision bool, seeds uint64, load func() *simulation) (total outcome, byClass []outcome) {
	for seed := range seeds {
		f := load()
		f.seed = seed
		f.decisions = rand.New(rand.NewPCG(seed, 3))
		f.choose = production
		if withDecision {
			f.choose = f.admitting
		}
		total.add(f.run())
		byClass = append(byClass, make([]outcome, len(f.byClass)-min(len(byClass), len(f.byClass)))...)
		for i, o := range f.byClass {
			byClass[i].add(o)
		}
	}
	GinkgoWriter.Printf("%s decision %v: goodput %.3f in time %.3f late %.3f refused %.3f of %d\n", name, withDecision, total.goodput(), total.inTimeShare(),
		float64(total.late)/float64(total.arrived), float64(total.refused)/float64(total.arrived), total.arrived)
	return total, byClass
}

func (o *outcome) add(other outcome) {
	o.arrived += other.arrived
	o.inTime += other.inTime
	o.late += other.late
	o.refused += other.refused
	o.offeredValue += other.offeredValue
	o.earnedValue += other.earnedValue
}

var _ = Describe("Placement under overload, with loads known late", func() {
	DescribeTable("answers the given share of the capacity in time, and more than without the decision", func(rate, least float64, load func(float64) *simulation) {
		inTime := func(withDecision bool) float64 {
			total, _ := sumOf(fmt.Sprintf("%.0f/s", rate), withDecision, 1, func() *simulation { return load(rate) })
			return total.inTimeShare() * rate / min(rate, farmCapacity)
		}
		Expect(inTime(true)).To(BeNumerically(">", max(least, inTime(false))))
	},
		Entry("1.0 times, sustained", 280.0, 0.8, sustained),
		Entry("1.5 times, sustained", 420.0, 0.83, sustained),
		Entry("2 times, sustained", 560.0, 0.83, sustained),
		Entry("1.0 times, with the loss of the groups", 280.0, 0.8, lostDataCentre),
		Entry("2 times, with the loss of the groups", 567.0, 0.7, lostDataCentre),
		Entry("2 times, sustained, with 16 daemons", 560.0, 0.78, withDaemons(16)),
		Entry("2 times, sustained, with 300 daemons", 560.0, 0.83, withDaemons(300)),
	)

	DescribeTable("changes nothing below capacity", func(load func() *simulation) {
		with, _ := sumOf("below capacity", true, 1, load)
		without, _ := sumOf("below capacity", false, 1, load)
		Expect(with).To(Equal(without))
	},
		Entry("0.75 of the build farm's", func() *simulation { return sustained(210) }),
		Entry("long prompts, 0.7 of the mean load", func() *simulation { return longPrompts(0.7, 0) }),
		Entry("long prompts, mean load", func() *simulation { return longPrompts(1, 0) }),
	)

	DescribeTable("is worth more by the decision when prompts are scarce", func(factor, wave, gain float64) {
		name := fmt.Sprintf("long prompts %.2f wave %.2f", factor, wave)
		load := func() *simulation { return longPrompts(factor, wave) }
		with, _ := sumOf(name, true, 1, load)
		without, _ := sumOf(name, false, 1, load)
		Expect(with.goodput()).To(BeNumerically(">", without.goodput()+gain))
	},
		Entry("the wave", 1.0, 0.55, -0.01),
		Entry("peak of the wave, sustained", 1.55, 0.0, 0.0),
		Entry("twice the capacity", 3.1, 0.0, 0.05),
	)

	DescribeTable("serves the more urgent priority more, and starves none", func(factor float64) {
		total, byClass := sumOf(fmt.Sprintf("two priorities %.1f", factor), true, 1, func() *simulation { return twoPriorities(factor) })
		served := func(o outcome) float64 { return float64(o.inTime+o.late) / float64(o.arrived) }
		GinkgoWriter.Printf("served %.3f and %.3f\n", served(byClass[0]), served(byClass[1]))
		Expect(served(byClass[0])).To(BeNumerically(">=", served(byClass[1])-0.01))
		Expect(served(byClass[1])).To(BeNumerically(">", 0.35*served(total)))
	},
		Entry("mean load", 1.0),
		Entry("1.5 times the capacity", 3.15),
		Entry("2 times the capacity", 4.2),
	)
})

func withDaemons(daemons int) func(float64) *simulation {
	return func(rate float64) *simulation {
		f := sustained(rate)
		f.daemons = daemons
		return f
	}
}
