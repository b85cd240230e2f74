package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

const (
	siegePeriod   = 8 * time.Second
	servedBound   = 15 * time.Second // after the last fault
	keptPeriod    = 500 * time.Millisecond
	siegeKeepers  = 8 // of each daemon
	siegeNewOnes  = 4
	siegeStreams  = 3
	soakLarge     = 2 // of each daemon
	soakDaemons   = 2
	soakCallPause = 20 * time.Millisecond
)

// numberFrom returns the number that an environment variable holds, or another one.
func numberFrom(variable string, otherwise int) int {
	number, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return otherwise
	}
	return number
}

// soakSeeds returns the seeds to run: those from SOAK_FIRST on, SOAK_SEEDS of them, or a few.
func soakSeeds(few int) []uint64 {
	seeds := make([]uint64, numberFrom("SOAK_SEEDS", few))
	for i := range seeds {
		seeds[i] = uint64(i + numberFrom("SOAK_FIRST", 1))
	}
	return seeds
}

var _ = Describe("Daemons under signals, short of descriptors, with callers that are slow, silent and sound", func() {
	for _, seed := range soakSeeds(2) {
		// Guards against requests that are lost, run twice, refused although they ran, or answered with another's answer.
		It(fmt.Sprintf("answer each request that they pass on, and stay up, seed %d", seed), func() {
			s := newSoak(seed, soakDaemons, soakAnswerBound)
			for i := range 6 {
				s.orders(fmt.Sprintf("order%d", i), soakCallPause, s.any)
			}
			for i := range 4 {
				s.streams(fmt.Sprintf("stream%d", i), soakCallPause)
			}
			for i := range 3 {
				s.strays(fmt.Sprintf("stray%d", i), soakCallPause)
			}
			s.disturb()
			for _, d := range s.daemons { // while the strays are still there
				Expect(d.session).NotTo(gexec.Exit(), "seed %d", seed)
				Eventually(d.isReady, "10s").Should(BeTrue(), "seed %d", seed)
				Expect(d.answer("after-"+d.callers)).To(Equal("HTTP/1.1 200"), "seed %d", seed)
			}
			s.finish()
			s.check(false)
		})
	}
})

var _ = Describe("Daemons that stand still, also while they stop, and are killed, before a platform with faults", func() {
	for _, seed := range soakSeeds(1) {
		// Guards against requests that have arrived and are dropped on waking, at the end of a grace, or by a change.
		It(fmt.Sprintf("answer each request that has arrived, and serve everything afterwards, seed %d", seed), func() {
			count := numberFrom("SOAK_DAEMONS", soakDaemons)
			s := newSoak(seed, count, soakAnswerBound+3*longestStandstill)
			s.lanes = true
			pause := time.Duration(count) * 50 * time.Millisecond
			for i, d := range s.daemons {
				for j := range siegeKeepers {
					s.orders(fmt.Sprintf("kept%d.%d", i, j), pause, func(*rand.Rand) *daemonProcess { return d })
				}
				for j := range siegeNewOnes {
					s.newcomers(fmt.Sprintf("new%d.%d", i, j), 2*pause, d)
				}
				for j := range siegeStreams {
					s.streams(fmt.Sprintf("stream%d.%d", i, j), pause)
				}
				s.strays(fmt.Sprintf("stray%d", i), 10*pause)
			}
			s.startDeafDesk(pause)
			s.siege()
			for _, d := range s.daemons {
				s.awaitServed(d)
			}
			s.loseConfiguration()
			s.departDeaf(s.random("departures"))
			s.finish()
			for _, d := range s.daemons {
				Expect(d.session).NotTo(gexec.Exit(), "seed %d: it ended by itself", seed)
			}
			s.check(true)
			s.checkArrivals()
		})
	}
})

// siege disturbs the daemons and their platform, and returns once the last fault is over and the last configuration written.
func (s *soak) siege() {
	until := time.Now().Add(siegePeriod)
	var faults sync.WaitGroup
	for i, d := range s.daemons {
		faults.Go(func() { s.besiege(d, s.random(fmt.Sprint("signals", i)), until) })
	}
	faults.Go(func() { s.troubleStore(s.random("store"), until) })
	faults.Go(func() { s.deafen(s.random("hearing"), until) })
	faults.Go(func() { s.reconfigure(s.random("configuration"), until) })
	engines := s.daemons[0].wire.Engines()
	for i, part := range [][]*fakes.WireEngine{engines[:len(engines)/2], engines[len(engines)/2:]} {
		faults.Go(func() { s.troubleEngines(part, s.random(fmt.Sprint("engines", i)), until) })
	}
	faults.Wait()
	s.configure(longIdle, 3*time.Second) // differs from the last one
	s.configure(longIdle, 3*time.Second, lastLane)
}

// awaitServed waits until a daemon is ready and serves a stream, and orders by the routes of the last configuration.
func (s *soak) awaitServed(d *daemonProcess) {
	Eventually(d.isReady, servedBound).Should(BeTrue(), "seed %d", s.seed)
	Eventually(s.statusOn, servedBound).WithArguments(d, "/order/").Should(Equal(http.StatusOK), "seed %d", s.seed)
	Eventually(func() error { return d.stream("after") }, servedBound).Should(Succeed(), "seed %d", s.seed)
	for lane := range soakLanes {
		status := http.StatusNotFound
		if lane == lastLane {
			status = http.StatusOK
		}
		path := fmt.Sprintf(comingAndGoing+"%d/", lane)
		Eventually(s.statusOn, servedBound).WithArguments(d, path).Should(Equal(status), "seed %d: %s", s.seed, path)
	}
}

// loseConfiguration brings the store back from a copy without the last configuration, which all daemons keep.
func (s *soak) loseConfiguration() {
	s.daemons[0].wire.Restore(1)
	Consistently(func() (statuses []int) {
		for _, d := range s.daemons {
			statuses = append(statuses, s.statusOn(d, fmt.Sprintf(comingAndGoing+"%d/", lastLane)))
		}
		return statuses
	}, keptPeriod).Should(HaveEach(http.StatusOK), "seed %d", s.seed)
}

// statusOn returns the status of an order on a path and a connection of its own, 0 if there is none.
func (s *soak) statusOn(d *daemonProcess, path string) int {
	conn := s.dial(d)
	if conn == nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	o := conn.order(path, fmt.Sprintf("after-%s-%d", d.callers, time.Now().UnixNano()), 0)
	s.record(o)
	if o == nil {
		return 0
	}
	return o.status
}
