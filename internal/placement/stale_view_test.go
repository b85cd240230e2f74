package placement_test

import (
	"cmp"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// picked is the decision of the product.
func picked(targets []*placement.Target, demand placement.Demand) *placement.Target {
	target, _ := placement.Pick(targets, demand)
	return target
}

// leastTold takes the target that is least loaded by what is known, if any has
// room.
func leastTold(targets []*placement.Target, _ placement.Demand) *placement.Target {
	least := slices.MinFunc(targets, func(a, b *placement.Target) int { return cmp.Compare(a.Meter.Load(), b.Meter.Load()) })
	if least.Meter.Load() >= least.Slots+2 {
		return nil
	}
	return least
}

// byRoomSquared is the former decision: at random, by the square of the room.
func byRoomSquared(targets []*placement.Target, demand placement.Demand) *placement.Target {
	total := 0.0
	weights := make([]float64, len(targets))
	for i, target := range targets {
		if target.Meter.Load() >= target.Slots+2 {
			continue
		}
		room := max(1-float64(target.Meter.Load()+1)/float64(target.Slots), 0.02)
		weights[i] = room * room
		total += weights[i]
	}
	left := demand.Random * total
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return targets[i]
		}
	}
	return nil
}

// amongRoomy chooses among the targets that have room, as a broken stream does.
func amongRoomy(targets []*placement.Target, demand placement.Demand) *placement.Target {
	var roomy []*placement.Target
	for _, target := range targets {
		if target.Meter.Load() < target.Slots+2 {
			roomy = append(roomy, target)
		}
	}
	return picked(roomy, demand)
}

var _ = Describe("Placing by many daemons that hear of each other late", func() {
	// The calm day of a grown fleet after the loss of a fabric domain.
	day := func(choose chooser, change func(*fleet)) outcome {
		f := &fleet{
			daemons: 89, groups: 9, slots: 48, perS: 290, prompt: 714, answer: 150,
			every: 100 * time.Millisecond, lag: 150 * time.Millisecond, length: 20 * time.Second, choose: choose,
		}
		if change != nil {
			change(f)
		}
		played := f.play()
		GinkgoWriter.Printf("worth %.3f in time %.3f late %.3f refused %.3f of %d\n", played.worth(), played.inTimeShare(),
			float64(played.late)/float64(played.asked), float64(played.refused)/float64(played.asked), played.asked)
		return played
	}

	It("answers more in time than by the least load, by the room squared, or without hubs", func() {
		now := day(picked, nil).inTimeShare()
		Expect(now).To(BeNumerically(">", day(leastTold, nil).inTimeShare()))
		Expect(now).To(BeNumerically(">", day(byRoomSquared, nil).inTimeShare()))
		Expect(now).To(BeNumerically(">", day(picked, onceASecond).inTimeShare()))
	})

	DescribeTable("is worth no less than any other way, from three quarters of the capacity to more than it", func(perS float64) {
		const same = 0.02 // two standard errors of a play of some 6,000 requests
		at := func(change func(*fleet)) func(*fleet) {
			return func(f *fleet) {
				f.perS = perS
				change(f)
			}
		}
		now := day(picked, at(func(*fleet) {})).worth()
		for _, way := range ways {
			By(way.name)
			Expect(now).To(BeNumerically(">=", day(way.choose, at(way.change)).worth()-same), way.name)
		}
	},
		Entry("230 a second", 230.0),
		Entry("260 a second", 260.0),
		Entry("290 a second", 290.0),
		Entry("310 a second", 310.0),
		Entry("340 a second", 340.0),
	)

	It("serves in time most of what the groups can run when a fifth too much is asked", func() {
		const capacity = 317.0 // requests a second that nine full groups answer
		more := day(picked, func(f *fleet) { f.perS = 1.2 * capacity })
		Expect(more.inTimeShare() * 1.2).To(BeNumerically(">", 0.9))
		Expect(more.late).To(BeNumerically("<", more.refused))
	})

	DescribeTable("serves more than the least load would when a few daemons place more than the groups can run", func(perS float64) {
		few := func(f *fleet) { f.daemons, f.groups, f.lag, f.perS = 8, 5, 50*time.Millisecond, perS }
		Expect(day(picked, few).worth()).To(BeNumerically(">", day(leastTold, few).worth()))
	},
		Entry("190 a second", 190.0),
		Entry("210 a second", 210.0),
	)

	DescribeTable("gains nothing by callers that come back over all of their time, in place of soon, while groups are lost by turns", func(perS float64) {
		lossy := func(returns comeBack) func(*fleet) {
			return func(f *fleet) {
				f.groups, f.perS, f.length = 12, perS, 40*time.Second
				f.lost, f.period, f.returns = []int{0, 1, 2, 3}, 4*time.Second, returns
			}
		}
		const soonest, span = 300 * time.Millisecond, 500 * time.Millisecond // as refused callers are told
		soon := func(_ time.Duration, random float64) time.Duration {
			return soonest + time.Duration(random*float64(span))
		}
		whole := func(left time.Duration, random float64) time.Duration {
			return soonest + time.Duration(random*(0.3*float64(left)-float64(soonest)))
		}
		Expect(day(picked, lossy(soon)).worth()).To(BeNumerically(">", day(picked, lossy(whole)).worth()-0.02))
	},
		Entry("330 a second", 330.0),
		Entry("350 a second", 350.0),
		Entry("380 a second", 380.0),
	)

	DescribeTable("makes fewer streams of few daemons late by sending no group more prompts than it soon reads", func(perS float64) {
		opening := func(reads bool) func(*fleet) {
			return func(f *fleet) {
				f.daemons, f.groups, f.slots, f.lag, f.perS, f.length = 8, 6, 26, 50*time.Millisecond, perS, 40*time.Second
				f.prompt, f.answer, f.pace, f.aim, f.pause = 1665, 120, 1, 400*time.Millisecond, 200*time.Millisecond
				f.lost, f.period, f.reads = []int{0, 1}, 6*time.Second, reads
			}
		}
		known, unknown := day(picked, opening(true)), day(picked, opening(false))
		Expect(known.worth()).To(BeNumerically(">", unknown.worth()))
		Expect(known.late).To(BeNumerically("<", unknown.late))
	},
		Entry("45 a second", 45.0),
		Entry("60 a second", 60.0),
		Entry("75 a second", 75.0),
	)

	It("takes no notice among many daemons of what waits to be read, which they would know too late", func() {
		opening := func(reads bool) func(*fleet) {
			return func(f *fleet) {
				f.groups, f.perS, f.prompt, f.answer = 6, 75, 1665, 100
				f.pace, f.aim, f.pause = 1, 400*time.Millisecond, 220*time.Millisecond
				f.lost, f.period, f.reads = []int{0, 1}, 6*time.Second, reads
			}
		}
		Expect(day(picked, opening(true))).To(Equal(day(picked, opening(false))))
	})

	DescribeTable("gains nothing by what groups do with their queues, which are short", func(perS float64) {
		now := day(picked, func(f *fleet) { f.perS = perS }).worth()
		byWorth := day(picked, func(f *fleet) { f.perS, f.byWorth = perS, true }).worth()
		Expect(byWorth).To(BeNumerically("~", now, 0.02))
	},
		Entry("290 a second", 290.0),
		Entry("310 a second", 310.0),
		Entry("340 a second", 340.0),
	)
})

func onceASecond(f *fleet) { f.every, f.lag = 1100*time.Millisecond, 0 }

// ways are the other ways to place that were weighed.
var ways = []struct {
	name   string
	choose chooser
	change func(*fleet)
}{
	{"only targets with room weighed", amongRoomy, func(*fleet) {}},
	{"the least load", leastTold, func(*fleet) {}},
	{"the room squared", byRoomSquared, func(*fleet) {}},
	{"told once a second, as without hubs", picked, onceASecond},
	{"the groups' reports, polled", picked, func(f *fleet) { f.polled = 400 * time.Millisecond }},
	{"a batch kept to five sixths of the slots", picked, func(f *fleet) { f.keep = 40 }},
	{"own requests only", picked, func(f *fleet) { f.blind = true }},
}
