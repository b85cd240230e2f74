package placement_test

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	simDataCentres = 3
	ownDelay       = 100 * time.Millisecond // with which a dispatcher knows the requests of its data centre
	otherDelay     = 250 * time.Millisecond // the same for the others
)

// simDispatcher is the dispatcher of a data centre.
type simDispatcher struct {
	dataCentre   int
	table        dispatch.Table
	accumulators dispatch.Accumulators
}

// dataCentreOf returns the data centre of a group. The groups that a load loses are those of one.
func (f *simulation) dataCentreOf(group int) int { return group * simDataCentres / f.groups }

// reportedLoad returns the requests of a group that a dispatcher knows of by reports.
func (f *simulation) reportedLoad(d *simDispatcher, group int) int {
	at := func(delay time.Duration) int { return min(max(int((f.now-delay)/simTick), 0), len(f.reported)-1) }
	own, other := at(ownDelay), at(otherDelay)
	load := f.reported[other][f.daemons][group]
	for daemon := d.dataCentre; daemon < f.daemons; daemon += simDataCentres {
		load += f.reported[own][daemon][group] - f.reported[other][daemon][group]
	}
	return load
}

// performance is what the groups publish.
func (f *simulation) performance() (*catalog.PerformanceModel, *catalog.Model) {
	return &catalog.PerformanceModel{
		Slots: f.slots, StepsPerPass: f.engine.stepsPerPass, StepDuration: f.engine.stepTime, PerRequest: f.engine.decodeTime, PrefillTokensPerSecond: 1000 * f.engine.prefillRate,
	}, &catalog.Model{StepTimeFactor: cmp.Or(f.timeScale, simTimeScale)}
}

// review tells a dispatcher of the reports of the daemons of its data centre.
func (f *simulation) review(d *simDispatcher) {
	start := time.Unix(0, 0)
	receivedAt := map[string]time.Time{}
	for daemon := d.dataCentre; daemon < f.daemons; daemon += simDataCentres {
		receivedAt[strconv.Itoa(daemon)] = start.Add(f.now - ownDelay)
	}
	d.table.Review(receivedAt, start.Add(f.now))
}

// dispatched is the choice of a dispatcher, with the decision under overload where routes are ranked.
func (f *simulation) dispatched(d *simDispatcher, ranked bool, targets []*placement.Target, requirements placement.Requirements) *placement.Target {
	f.review(d)
	assigned := d.table.Assigned(requirements.Now)
	performance, model := f.performance()
	in := dispatch.Input{Performance: performance, Model: model, PromptTokens: requirements.PromptTokens, Late: requirements.Late}
	limits := overload.Input{
		Performance: performance, Model: model, Demand: f.demand(), Priority: requirements.Priority, Late: requirements.Late, Daemons: f.daemons,
		Delay: (ownDelay + otherDelay) / 2, LoadShare: dispatch.LoadShare,
	}
	for _, target := range targets {
		group := int(target.Key[0] - 'a')
		load := f.reportedLoad(d, group) + assigned[target.Key].Requests
		gap, slowdown := f.knownPace(d, group)
		in.Targets = append(in.Targets, dispatch.Target{Local: f.dataCentreOf(group) == d.dataCentre, Slots: target.Slots, Load: load, PromptTokens: assigned[target.Key].PromptTokens, MeanGap: gap, Slowdown: slowdown})
		limits.Targets = append(limits.Targets, overload.Target{Load: load, MeanGap: gap, Slowdown: slowdown})
	}
	if ranked {
		decision := overload.Decide(limits)
		if decision.Limited && !d.accumulators.Admit(requirements.Priority, "", decision.Fraction) {
			return nil
		}
		in.Admitted = decision.Limited
	}
	chosen := dispatch.Choose(in)
	if chosen < 0 {
		return nil
	}
	d.table.Add(strconv.Itoa(f.placingDaemon), targets[chosen].Key, requirements.PromptTokens, false, requirements.Now)
	return targets[chosen]
}

// dispatchedSum runs a load with dispatchers with each of the seeds.
func dispatchedSum(name string, ranked bool, seeds uint64, load func() *simulation) (total outcome) {
	for seed := range seeds {
		f := load()
		f.seed = seed
		dispatchers := make([]*simDispatcher, simDataCentres)
		for i := range dispatchers {
			dispatchers[i] = &simDispatcher{dataCentre: i}
		}
		f.choose = func(targets []*placement.Target, requirements placement.Requirements) *placement.Target {
			if requirements.Resumed {
				return production(targets, requirements)
			}
			return f.dispatched(dispatchers[f.placingDaemon%simDataCentres], ranked, targets, requirements)
		}
		total.add(f.run())
	}
	GinkgoWriter.Printf("%s with dispatchers: goodput %.3f in time %.3f late %.3f refused %.3f of %d\n", name, total.goodput(), total.inTimeShare(),
		float64(total.late)/float64(total.arrived), float64(total.refused)/float64(total.arrived), total.arrived)
	return total
}

var _ = Describe("Dispatchers of three data centres", func() {
	DescribeTable("answer the given share of the capacity in time, more than daemons that choose by themselves, each with delayed information", func(rate, least float64, load func(float64) *simulation) {
		name := fmt.Sprintf("%.0f/s", rate)
		loaded := func() *simulation { return load(rate) }
		with := dispatchedSum(name, true, 1, loaded)
		without, _ := sumOf(name, true, 1, loaded)
		ofCapacity := rate / min(rate, farmCapacity)
		Expect(with.inTimeShare() * ofCapacity).To(BeNumerically(">", max(least, without.inTimeShare()*ofCapacity)))
	},
		Entry("1.0 times, sustained", 280.0, 0.9, sustained),
		Entry("1.5 times, sustained", 420.0, 0.9, sustained),
		Entry("2 times, sustained", 560.0, 0.9, sustained),
		Entry("1.0 times, with the loss of the groups", 280.0, 0.9, lostDataCentre),
		Entry("2 times, with the loss of the groups", 567.0, 0.85, lostDataCentre),
	)

	DescribeTable("refuse nothing below the capacity", func(ranked bool, load func() *simulation) {
		total := dispatchedSum("below capacity", ranked, 1, load)
		Expect(total.refused).To(BeZero())
		Expect(total.inTimeShare()).To(BeNumerically(">", 0.99))
	},
		Entry("0.82 of the build farm's", true, func() *simulation { return sustained(230) }),
		Entry("the build farm's larger model", true, func() *simulation { return twoPriorities(1) }),
		Entry("long prompts at the mean load", false, func() *simulation { return longPrompts(1, 0) }),
	)

	DescribeTable("keep long prompts apart that meet by chance if daemons choose by themselves", func(factor, wave, least float64) {
		name := fmt.Sprintf("long prompts %.2f wave %.2f", factor, wave)
		load := func() *simulation { return longPrompts(factor, wave) }
		with := dispatchedSum(name, false, 1, load)
		without, _ := sumOf(name, false, 1, load)
		Expect(with.goodput()).To(BeNumerically(">", max(least, without.goodput())))
	},
		Entry("at the mean load", 1.0, 0.0, 0.98),
		Entry("on the wave", 1.0, 0.55, 0.93),
		Entry("at the peak of the wave, sustained", 1.55, 0.0, 0.74),
	)
})
