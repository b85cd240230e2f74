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
	limitTick   = 100 * time.Millisecond
	answerTicks = 3 // from the arrival of a request to its answer
	liveTicks   = 7 // without a message, after which a daemon counts as gone
	startTicks  = 5 // until a daemon that has started again gets requests
)

// limitedFleet plays daemons in virtual time that send to one endpoint and tell each other of its
// limit over links that lose messages. With hubs, all but the hubs tell the hubs alone.
type limitedFleet struct {
	random    *rand.Rand
	loss      float64
	hubs      int
	names     []string
	tables    []*targetstats.Limits
	heard     [][]int // tick of the newest message, or of the newest digest that lists the daemon
	toldAt    []int   // tick of the first answer with a limit since the start; -1: none
	startedAt []int
}

func newLimitedFleet(daemons, hubs int, loss float64, seed uint64) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(seed, 2)), loss: loss, hubs: hubs}
	for i := range daemons {
		f.names = append(f.names, fmt.Sprint("n", i))
		f.tables = append(f.tables, targetstats.NewLimits())
		f.heard = append(f.heard, make([]int, daemons))
		f.toldAt = append(f.toldAt, -1)
		f.startedAt = append(f.startedAt, -startTicks)
	}
	return f
}

func (f *limitedFleet) restart(i, tick int) {
	f.tables[i], f.toldAt[i], f.startedAt[i] = targetstats.NewLimits(), -1, tick
	for j := range f.heard[i] {
		f.heard[i][j] = tick
	}
}

// exchange sends one round of messages and sets the shares.
func (f *limitedFleet) exchange(tick int, now time.Time) {
	for i, from := range f.tables {
		reports := from.Reports(now)
		f.heard[i][i] = tick
		for j, to := range f.tables {
			if linked := f.hubs == 0 || i < f.hubs || j < f.hubs; i == j || !linked || f.random.Float64() < f.loss {
				continue
			}
			to.Merge(reports, now)
			f.heard[j][i] = tick
			for k := range f.tables {
				if f.hubs > 0 && i < f.hubs {
					f.heard[j][k] = max(f.heard[j][k], f.heard[i][k])
				}
			}
		}
	}
	for i, table := range f.tables {
		var live []string
		for j, at := range f.heard[i] {
			if tick-at < liveTicks {
				live = append(live, f.names[j])
			}
		}
		table.Share(live, f.names[i], now)
	}
}

var _ = Describe("Daemons that share the limit of an endpoint", func() {
	type arrival struct {
		tick, daemon int
		counted      bool
	}
	// play names a limit from 2 s to 30 s and returns the arrivals. Requests come all the time but from 12 s
	// to 18 s, after which each daemon gets one at once. From 20 s to 28 s daemons are restarted in turn. An arrival
	// counts if its daemon had been told half a second before, and had not been restarted for 3 s.
	play := func(f *limitedFleet, perS, demand float64) []arrival {
		var arrivals []arrival
		for tick := range 420 {
			now := time.Unix(1000, 0).Add(time.Duration(tick) * limitTick)
			naming := tick >= 20 && tick < 300
			send := func(daemon int) {
				if tick-f.startedAt[daemon] < startTicks || !f.tables[daemon].GetOrCreate("e", 1).Take(now) {
					return
				}
				told := f.toldAt[daemon]
				arrivals = append(arrivals, arrival{tick, daemon, told >= 0 && tick-told >= 5 && tick-f.startedAt[daemon] >= 30})
			}
			if tick < 120 || tick >= 180 {
				for sent := 0.0; sent+f.random.Float64() < demand*limitTick.Seconds(); sent++ {
					send(f.random.IntN(len(f.tables)))
				}
			}
			if tick == 180 {
				for daemon := range f.tables {
					send(daemon)
				}
			}
			for _, a := range arrivals {
				if a.tick+answerTicks != tick || f.startedAt[a.daemon] > a.tick {
					continue
				}
				limit := f.tables[a.daemon].GetOrCreate("e", 1)
				if !naming {
					limit.ObserveNone(now.Add(-answerTicks*limitTick), now)
					continue
				}
				limit.Observe(perS, now)
				if f.toldAt[a.daemon] < 0 {
					f.toldAt[a.daemon] = tick
				}
			}
			f.exchange(tick, now)
			if tick >= 200 && tick < 280 && tick%5 == 0 {
				f.restart(tick/5%len(f.tables), tick)
			}
		}
		return arrivals
	}
	count := func(arrivals []arrival, from, to int, all bool) int {
		n := 0
		for _, a := range arrivals {
			if a.tick >= from && a.tick < to && (all || a.counted) {
				n++
			}
		}
		return n
	}

	// Rates are requests a second; the window is that within which an endpoint's limit must be kept.
	DescribeTable("keep to it together, use it, and send as before once it has ended",
		func(daemons, hubs int, loss, perS, demand float64, window time.Duration) {
			allowed := int(1.5*4*perS + 5)
			for seed := range uint64(32/daemons) + 1 {
				arrivals := play(newLimitedFleet(daemons, hubs, loss, seed), perS, demand)
				worst := 0
				for from := 20 + int(window/limitTick); from+40 <= 300; from++ {
					worst = max(worst, count(arrivals, from, from+40, false))
				}
				used := float64(count(arrivals, 60, 120, true)) / 6
				after := float64(count(arrivals, 360, 420, true)) / 6
				GinkgoWriter.Println("seed", seed, "worst", worst, "allowed", allowed, "used", used, "after", after)
				Expect(worst).To(BeNumerically("<=", allowed), fmt.Sprint("seed ", seed))
				Expect(used).To(BeNumerically(">", perS/2), fmt.Sprint("seed ", seed))
				Expect(after).To(BeNumerically(">", demand/2), fmt.Sprint("seed ", seed))
			}
		},
		Entry("8 daemons", 8, 0, 0.0, 2.7, 10.0, 3*time.Second),
		Entry("8 daemons, three in ten messages lost", 8, 0, 0.3, 2.7, 10.0, 3*time.Second),
		Entry("8 daemons, six in ten messages lost, a small limit", 8, 0, 0.6, 0.8, 10.0, 3*time.Second),
		Entry("88 daemons", 88, 6, 0.0, 2.7, 40.0, 4*time.Second),
		Entry("88 daemons, three in ten messages lost", 88, 6, 0.3, 2.7, 40.0, 4*time.Second),
		Entry("88 daemons, three in ten messages lost, a large limit", 88, 6, 0.3, 20.0, 80.0, 4*time.Second),
	)
})
