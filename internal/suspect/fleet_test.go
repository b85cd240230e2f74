package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	simulationTick = 100 * time.Millisecond
	crashAfter     = 3 // ticks from the arrival of a request to the crash of its group
	startTicks     = 5 // until a daemon that has started again gets requests
)

// simulatedFleet plays daemons in virtual time, each with a table, that tell each other what they
// know over links that lose messages. With hubs, all but the hubs tell the hubs alone.
type simulatedFleet struct {
	random *rand.Rand
	loss   float64
	hubs   int // 0: each daemon tells each other
	tables []*suspect.Table
}

func newSimulatedFleet(daemons, hubs int, loss float64, confirmAfter time.Duration, seed uint64) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, hubs: hubs}
	for range daemons {
		f.tables = append(f.tables, f.newTable(confirmAfter))
	}
	return f
}

func (f *simulatedFleet) newTable(confirmAfter time.Duration) *suspect.Table {
	return suspect.NewTable(suspect.Policy{ConfirmAfter: func() time.Duration { return confirmAfter }})
}

// exchange sends one round of messages.
func (f *simulatedFleet) exchange(now time.Time) {
	for i, from := range f.tables {
		reports := from.Reports(now)
		for j, to := range f.tables {
			linked := f.hubs == 0 || i < f.hubs || j < f.hubs
			if i != j && linked && f.random.Float64() >= f.loss {
				to.Merge(reports, now)
			}
		}
	}
	for _, table := range f.tables {
		table.Review(now)
	}
}

// crashing is a request on its way to the crash of its group.
type crashing struct {
	daemon int
	group  fleet.FencingNumber
	due    int // tick
}

var _ = Describe("Daemons that tell each other of crashes", func() {
	const first, cause = 1, 2
	subject := func(id int, parts ...uint64) suspect.Subject {
		return suspect.Subject{Fingerprint: uint64(1000 + id), Parts: parts}
	}
	// play sends sound requests to random daemons for 40 s, and from 10 s on beside them requests with the
	// same first part and one that crashes groups. From 22 s on daemons are restarted in turn. It returns the crashes,
	// the requests with the part that ran later than window after the fifth crash, and the share of sound ones
	// refused.
	play := func(f *simulatedFleet, rate, soundRate float64, window, confirmAfter time.Duration) (crashes, late int, refusedShare float64) {
		var pending []crashing
		fifthAt := -1
		sound, refused := 0, 0
		startedAt := make([]int, len(f.tables))
		for tick := range 400 {
			now := time.Unix(1000, 0).Add(time.Duration(tick) * simulationTick)
			for arrival := 0.0; tick >= 100 && arrival+f.random.Float64() < rate*simulationTick.Seconds(); arrival++ {
				daemon := f.random.IntN(len(f.tables))
				if tick-startedAt[daemon] < startTicks || f.tables[daemon].Standing(subject(tick, first, cause), now) == suspect.Refused {
					continue
				}
				if fifthAt >= 0 && time.Duration(tick-fifthAt)*simulationTick > window {
					late++
				}
				pending = append(pending, crashing{daemon, fleet.FencingNumber(tick*100 + int(arrival)), tick + crashAfter})
			}
			if f.random.Float64() < soundRate*simulationTick.Seconds() {
				sound++
				table := f.tables[f.random.IntN(len(f.tables))]
				if table.Standing(subject(tick, first), now) == suspect.Refused {
					refused++
				} else {
					table.Clear(subject(-tick, first), now)
				}
			}
			for _, request := range pending {
				if request.due == tick {
					crashes++
					f.tables[request.daemon].Add(suspect.Crash{Subject: subject(tick, first, cause), Group: request.group, At: now}, now)
					if crashes == 5 {
						fifthAt = tick
					}
				}
			}
			f.exchange(now)
			if tick >= 220 && tick%2 == 0 {
				restarted := tick / 2 % len(f.tables)
				f.tables[restarted], startedAt[restarted] = f.newTable(confirmAfter), tick
			}
		}
		return crashes, late, float64(refused) / float64(max(sound, 1))
	}

	// Rates are requests a second. A fleet of 88 tells through six hubs with a delay of 300 ms.
	DescribeTable("refuse the part within the window, keep its verdict over restarts, and serve the other parts",
		func(daemons, hubs int, loss float64, rate, soundRate float64, window time.Duration) {
			confirmAfter := 500 * time.Millisecond
			for seed := range uint64(32/daemons) + 1 {
				f := newSimulatedFleet(daemons, hubs, loss, confirmAfter, seed)
				crashes, late, refusedShare := play(f, rate, soundRate, window, confirmAfter)
				GinkgoWriter.Println(seed, crashes, late, refusedShare)
				Expect(crashes).To(BeNumerically(">=", 3), fmt.Sprint("seed ", seed))
				Expect(late).To(BeNumerically("<=", 3), fmt.Sprint("seed ", seed))
				Expect(refusedShare).To(BeNumerically("<", 0.5), fmt.Sprint("seed ", seed))
			}
		},
		Entry("8 daemons", 8, 0, 0.0, 3.0, 4.0, 3*time.Second),
		Entry("8 daemons, three in ten messages lost", 8, 0, 0.3, 3.0, 4.0, 3*time.Second),
		Entry("8 daemons, eight in ten messages lost", 8, 0, 0.8, 3.0, 4.0, 3*time.Second),
		Entry("8 daemons, many such requests and few sound ones", 8, 0, 0.3, 20.0, 1.0, 3*time.Second),
		Entry("88 daemons", 88, 6, 0.0, 3.0, 4.0, 4*time.Second),
		Entry("88 daemons, three in ten messages lost", 88, 6, 0.3, 3.0, 4.0, 4*time.Second),
		Entry("88 daemons, eight in ten messages lost", 88, 6, 0.8, 3.0, 4.0, 4*time.Second),
		Entry("88 daemons, many such requests and few sound ones", 88, 6, 0.3, 20.0, 1.0, 4*time.Second),
	)
})
