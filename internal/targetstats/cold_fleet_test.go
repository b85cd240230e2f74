package targetstats_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

const (
	coldTick      = 10 * time.Millisecond
	coldTicksPerS = 100
	coldTicks     = 3 * coldTicksPerS // for which the endpoint is cold each time
	coldRound     = 5 * coldTicksPerS // from one time to the next
	coldRounds    = 4
	coldLate      = 2 // daemons that start after the others, within the margin of the share policy
)

// coldFleet plays daemons in virtual time, all with more requests than they may send to one endpoint
// that turns cold again and again. No daemon tells another anything.
type coldFleet struct {
	random *rand.Rand
	policy targetstats.SharePolicy
	names  []string
	known  []int // number of names that a daemon knows to be registered; 0: it is down
	tables []*targetstats.Limits
	sent   []int // requests by tick
}

func newColdFleet(daemons int, seed uint64) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(seed, 3)), names: names(daemons + coldLate), sent: make([]int, coldRounds*coldRound),
		policy: targetstats.SharePolicy{PerS: 23, Window: time.Second, Overshoot: 1.5, Slack: 5},
	}
	for i := range f.names {
		f.tables = append(f.tables, targetstats.NewLimits())
		f.known = append(f.known, daemons)
		if i >= daemons {
			f.known[i] = 0
		}
	}
	return f
}

// share sets the rate of a daemon, as it does whenever the registrations change.
func (f *coldFleet) share(i int, now time.Time) {
	known := f.names[:f.known[i]]
	f.tables[i].GetOrCreate("e", 1).SetColdShare(f.policy.Rate("e", known, len(known), f.names[i]), now)
}

// start starts a daemon, which reads the registrations and the endpoint's entry at once.
func (f *coldFleet) start(i int, until, now time.Time) {
	f.known[i], f.tables[i] = len(f.names), targetstats.NewLimits()
	f.tables[i].GetOrCreate("e", 1).MarkCold(until, now)
	f.share(i, now)
}

// play runs the fleet. With trouble, a third of the daemons hears nothing of the two that start in the
// middle of the second time, and a seventh of the daemons is restarted at random ticks.
func (f *coldFleet) play(trouble bool) {
	daemons := len(f.names) - coldLate
	begin := time.Unix(1000, 0)
	for tick := range f.sent {
		now := begin.Add(time.Duration(tick) * coldTick)
		until := begin.Add(time.Duration(tick/coldRound*coldRound+coldTicks) * coldTick)
		for i := range f.names {
			if f.known[i] == 0 {
				continue
			}
			if tick%coldRound == 0 {
				f.tables[i].GetOrCreate("e", 1).MarkCold(until, now)
				f.share(i, now)
			}
			if trouble && i%7 == 3 && f.random.IntN(coldTicksPerS) == 0 {
				f.start(i, until, now)
			}
			if tick == coldRound+3*coldTicksPerS/2 && trouble && i%3 > 0 {
				f.known[i] = len(f.names)
				f.share(i, now)
			}
		}
		if trouble && tick == coldRound+coldTicksPerS {
			for late := range coldLate {
				f.start(daemons+late, until, now)
			}
		}
		if tick%coldRound >= coldTicks {
			continue // the endpoint is warm
		}
		for _, i := range f.random.Perm(len(f.names)) {
			if f.known[i] > 0 && f.tables[i].GetOrCreate("e", 1).Take(now) {
				f.sent[tick]++
			}
		}
	}
}

// worst returns the most requests in a second.
func (f *coldFleet) worst() int {
	worst := 0
	for from := range len(f.sent) - coldTicksPerS {
		count := 0
		for _, sent := range f.sent[from : from+coldTicksPerS] {
			count += sent
		}
		worst = max(worst, count)
	}
	return worst
}

var _ = Describe("Daemons that share the limit of a cold endpoint without word of each other", func() {
	const bound = 23*1.5 + 5

	DescribeTable("keep to it in any second while some hear of no other, start late, or restart, and use two thirds of it",
		func(daemons int) {
			for seed := range uint64(3) {
				calm := newColdFleet(daemons, seed)
				calm.play(false)
				total := 0
				for _, sent := range calm.sent {
					total += sent
				}
				used := float64(total) / (coldRounds * coldTicks / coldTicksPerS)
				troubled := newColdFleet(daemons, seed)
				troubled.play(true)
				GinkgoWriter.Println("seed", seed, "worst", calm.worst(), "with trouble", troubled.worst(), "used a second", used)
				Expect(calm.worst()).To(BeNumerically("<=", bound), fmt.Sprint("seed ", seed))
				Expect(troubled.worst()).To(BeNumerically("<=", bound), fmt.Sprint("seed ", seed))
				Expect(used).To(BeNumerically(">=", 23*2.0/3), fmt.Sprint("seed ", seed))
			}
		},
		Entry("7 daemons", 7), Entry("35 daemons", 35), Entry("86 daemons", 86), Entry("300 daemons", 300),
	)
})
