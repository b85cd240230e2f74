package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

const (
	soakDescriptors = 300
	soakDesks       = 3
	soakPeriod      = 7 * time.Second
	soakAnswerBound = 6 * time.Second // the longest deadline and the grace that may follow it
)

// soak is callers of several kinds before daemons under faults.
type soak struct {
	seed    uint64
	bound   time.Duration // of the time to an answer
	daemons []*daemonProcess
	ended   chan struct{} // closed: callers begin nothing more
	callers sync.WaitGroup
	mu      sync.Mutex
	results []*soakOutcome
	open    []net.Conn // that are kept without a request, or unread
	kills   map[*daemonProcess][]soakKill
	writing sync.Mutex

	deaf       *fakes.WireEngine
	large      []*soakOutcome // of orders that it cannot take while it is deaf
	departures []soakDeparture
	halts      map[*daemonProcess][]soakHalt

	version int  // of the newest configuration
	lanes   bool // orders go to lanes too
	kept    int  // version that was the newest when the store last came back from a copy
}

func newSoak(seed uint64, daemons int, bound time.Duration) *soak {
	s := &soak{seed: seed, version: 1, kept: 1, bound: bound, daemons: newDaemonProcesses(daemons), ended: make(chan struct{}), kills: map[*daemonProcess][]soakKill{}, halts: map[*daemonProcess][]soakHalt{}}
	for i := range soakDesks - 1 {
		Expect(s.daemons[0].wire.StartDesk("n", fmt.Sprintf("n-desk%d", i+2))).To(Succeed())
	}
	s.daemons[0].wire.SetLastEvent(streamLength)
	s.daemons[0].wire.SetWorkTime(40 * time.Millisecond)
	for _, d := range s.daemons {
		s.start(d)
	}
	for _, d := range s.daemons {
		d.awaitService()
	}
	return s
}

// start starts a daemon. It returns once signals no longer end its process.
func (s *soak) start(d *daemonProcess) {
	d.start(exec.Command("bash", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" --platform --settings "$1"`, soakDescriptors), binary, d.settings))
	Eventually(d.handlesSignals, handlersBound, handlersPause).Should(BeTrue(), "seed %d", s.seed)
	time.Sleep(handlersPause)
}

// record records an outcome, if a request was sent.
func (s *soak) record(o *soakOutcome) {
	if o == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, o)
}

func (s *soak) over() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// random returns the random numbers of a part of the soak.
func (s *soak) random(part string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, part)
	return rand.New(rand.NewPCG(s.seed, hash.Sum64()))
}

// run starts a caller that calls turn until the soak is over, with pauses. turn gets a name of its own each time.
func (s *soak) run(name string, pause time.Duration, turn func(id string, random *rand.Rand)) {
	random := s.random(name)
	s.callers.Go(func() {
		for i := 0; !s.over(); i++ {
			turn(fmt.Sprintf("%s-%d-%d", name, s.seed, i), random)
			time.Sleep(upTo(random, pause))
		}
	})
}

// any returns a daemon.
func (s *soak) any(random *rand.Rand) *daemonProcess { return s.daemons[random.IntN(len(s.daemons))] }

// finish ends the callers and closes the connections that were kept.
func (s *soak) finish() {
	close(s.ended)
	s.callers.Wait()
	for _, conn := range s.open {
		_ = conn.Close()
	}
}

// upTo returns a time below a limit.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
