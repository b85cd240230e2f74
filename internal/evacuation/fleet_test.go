package evacuation_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

// playedDaemon is a daemon of a played fleet.
type playedDaemon struct {
	*evacuation.Set
	synced bool
	era    uint64
	end    int // records read
}

// playedFleet is a store and daemons that read it and tell each other, in virtual time.
type playedFleet struct {
	random  *rand.Rand
	now     time.Time
	era     uint64
	history []keyed.Record
	daemons []*playedDaemon
	late    [][]evacuation.Report // datagrams that may still arrive
}

var playedNames = []string{"x", "y", "z"}

// evacuatedAt says what the first records of the history say of a data centre.
func (f *playedFleet) evacuatedAt(name string, end int) bool {
	evacuated := false
	for _, record := range f.history[:end] {
		if record.Key == "out/"+name {
			evacuated = record.Value != nil
		}
	}
	return evacuated
}

func (f *playedFleet) append() {
	record := keyed.Record{Key: "out/" + playedNames[f.random.IntN(3)], Offset: uint64(len(f.history))}
	switch f.random.IntN(3) {
	case 0:
		record.Value = []byte("{}")
	case 1:
		record.Key, record.Value = "config", []byte("{}")
	}
	f.history = append(f.history, record)
}

// read has a daemon read up to an end, its whole content if history is lost to the daemon.
func (f *playedFleet) read(d *playedDaemon, end int, lost bool) {
	batch := keyed.Batch{Era: f.era, End: uint64(end)}
	if d.synced && d.era == f.era && !lost {
		batch.Records = f.history[min(d.end, end):end]
	} else {
		batch.Complete = true
		batch.Restored = d.synced && f.era > d.era
		newest := map[string]keyed.Record{}
		for _, record := range f.history[:end] {
			newest[record.Key] = record
		}
		for _, record := range newest {
			if record.Value != nil {
				batch.Records = append(batch.Records, record)
			}
		}
	}
	d.Apply(batch, f.now)
	d.synced, d.era, d.end = true, f.era, end
}

// step plays one event. Restores are played at most once in 10 s, so that operators can write again.
func (f *playedFleet) step(restores bool) {
	f.now = f.now.Add(time.Duration(f.random.IntN(300)) * time.Millisecond)
	d := f.daemons[f.random.IntN(len(f.daemons))]
	switch roll := f.random.IntN(100); {
	case roll < 15:
		f.append()
	case roll < 50:
		from := 0
		if d.era == f.era {
			from = d.end
		}
		f.read(d, from+f.random.IntN(len(f.history)-from+1), f.random.IntN(4) == 0)
	case roll < 70:
		f.late = append(f.late, d.Reports(f.now))
	case roll < 90 && len(f.late) > 0:
		d.Merge(f.late[f.random.IntN(len(f.late))], f.now)
	case roll < 93:
		*d = playedDaemon{Set: evacuation.NewSet("out/")}
		f.read(d, len(f.history), false)
	case roll < 94 && restores:
		f.era++
		f.history = f.history[:f.random.IntN(len(f.history)+1)]
	default:
		for _, d := range f.daemons {
			d.Settle(f.now)
		}
	}
}

var _ = Describe("Daemons that read the operators' topic late and tell each other", func() {
	play := func(seed uint64, restores bool, check func(f *playedFleet)) *playedFleet {
		f := &playedFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
		for range 5 {
			f.daemons = append(f.daemons, &playedDaemon{Set: evacuation.NewSet("out/")})
		}
		for range 400 {
			f.step(restores)
			check(f)
		}
		return f
	}

	// Guards against late datagrams, restarts and lost history that bring back what was withdrawn, or
	// end what was imposed.
	It("never hold what was replaced in the records that they have read", func() {
		for seed := range uint64(100) {
			play(seed, false, func(f *playedFleet) {
				for _, d := range f.daemons {
					for _, name := range playedNames {
						possible := false
						for end := d.end; end <= len(f.history); end++ {
							possible = possible || f.evacuatedAt(name, end) == d.Evacuated(name)
						}
						Expect(possible).To(BeTrue(), "seed %d, data centre %s, read up to %d of %v", seed, name, d.end, f.history)
					}
				}
			})
		}
	})

	// Guards against restores of the store after which daemons differ for ever.
	It("agree with the store once they have read it, 5 s after it came back from older copies", func() {
		for seed := range uint64(100) {
			f := play(seed, true, func(*playedFleet) {})
			for _, d := range f.daemons {
				f.read(d, len(f.history), false)
			}
			for range 2 {
				f.now = f.now.Add(evacuation.HoldPeriod)
				for _, d := range f.daemons {
					d.Settle(f.now)
				}
				for _, from := range f.daemons {
					for _, to := range f.daemons {
						to.Merge(from.Reports(f.now), f.now)
					}
				}
			}
			for i, d := range f.daemons {
				for _, name := range playedNames {
					Expect(d.Evacuated(name)).To(Equal(f.evacuatedAt(name, len(f.history))), "seed %d, daemon %d, data centre %s", seed, i, name)
				}
			}
		}
	})
})
