package main

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

const (
	shortIdle = 200 * time.Millisecond // less than a standstill, so that all connections have expired on waking
	longIdle  = 15 * time.Second
	soakLanes = 3 // whose routes come and go
	lastLane  = 1 // the only one of the last configuration
)

// troubleStore makes the store fail in several ways, and come back from an older copy, until a time.
func (s *soak) troubleStore(random *rand.Rand, until time.Time) {
	defer GinkgoRecover()
	server, faults := s.daemons[0].store, s.daemons[0].wire.Store().Faults
	kinds := []fakes.Faults{{Down: true}, {Frozen: true}, {SlowMS: 100, SlowestMS: 1500}, {LoseAnswers: true}}
	for time.Now().Before(until) {
		time.Sleep(upTo(random, 4*time.Second))
		period := 200*time.Millisecond + upTo(random, 1800*time.Millisecond)
		kind := random.IntN(len(kinds) + 3)
		if kind < len(kinds) {
			faults.Set(kinds[kind])
			time.Sleep(period)
			faults.Set(fakes.Faults{})
			continue
		}
		server.Kill()
		time.Sleep(period)
		if kind > len(kinds) {
			s.restoreStore(1+random.IntN(30), until)
		}
		Eventually(server.Start, "5s").Should(Succeed())
	}
}

// troubleEngines makes endpoints crash, restart, fall silent, announce that they leave, close connections that are kept,
// and answer with half a head, until a time.
func (s *soak) troubleEngines(engines []*fakes.WireEngine, random *rand.Rand, until time.Time) {
	defer GinkgoRecover()
	restart := func(engine *fakes.WireEngine) {
		_, err := engine.Restart(upTo(random, time.Second), upTo(random, 500*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
	}
	for time.Now().Before(until) {
		time.Sleep(500*time.Millisecond + upTo(random, 3*time.Second))
		engine := engines[random.IntN(len(engines))]
		switch random.IntN(6) {
		case 0:
			engine.Crash()
		case 1:
			restart(engine)
		case 2:
			engine.FallSilent(true)
			time.Sleep(time.Second)
			engine.FallSilent(false)
		case 3:
			engine.Announce()
			time.Sleep(upTo(random, time.Second))
			restart(engine)
		case 4:
			for range 100 {
				engine.CloseKept()
				time.Sleep(upTo(random, 10*time.Millisecond))
			}
		case 5:
			engine.AnswerHalf(1 + random.IntN(8))
		}
	}
}

// reconfigure writes configurations in quick succession until a time.
func (s *soak) reconfigure(random *rand.Rand, until time.Time) {
	defer GinkgoRecover()
	for time.Now().Before(until) {
		idle := []time.Duration{shortIdle, shortIdle, time.Second, longIdle}[random.IntN(4)]
		var lanes []int
		for lane := range soakLanes {
			if random.IntN(2) == 0 {
				lanes = append(lanes, lane)
			}
		}
		s.configure(idle, 2*time.Second+upTo(random, 2*time.Second), lanes...)
		if random.IntN(3) == 0 {
			time.Sleep(upTo(random, 1500*time.Millisecond))
		}
		time.Sleep(upTo(random, 50*time.Millisecond))
	}
}

// restoreStore brings the store back from an older copy, unless the last configuration may have been written.
func (s *soak) restoreStore(lost int, until time.Time) {
	s.writing.Lock()
	defer s.writing.Unlock()
	if time.Now().Before(until) && s.version > s.kept {
		s.daemons[0].wire.Restore(lost)
		s.kept = s.version // the configuration before is not lost as well
	}
}

// configure writes the next version of the configuration.
func (s *soak) configure(idle, order time.Duration, lanes ...int) {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.version++
	Expect(s.daemons[0].wire.Configure(s.version, idle, order, lanes...)).To(Succeed())
}
