package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	longestStandstill = 3 * time.Second
	closingPeriod     = 3500 * time.Millisecond // in which a daemon without requests ends, and some more
	exitBound         = 8 * time.Second         // the grace, and what it takes to end
)

// signal sends signals to a daemon; they have no effect once its process has ended.
func (d *daemonProcess) signal(signals ...syscall.Signal) {
	for _, signal := range signals {
		_ = d.session.Command.Process.Signal(signal)
	}
}

// standStill stops a daemon's process for a time.
func (d *daemonProcess) standStill(period time.Duration) {
	d.signal(syscall.SIGSTOP)
	time.Sleep(period)
	d.signal(syscall.SIGCONT)
}

// disturb sends signals to the daemons in series that overlap, and starts those again that were stopped.
func (s *soak) disturb() {
	random := s.random("signals")
	var stopping sync.WaitGroup
	stopped := make([]bool, len(s.daemons)) // each once
	sessions := make([]*gexec.Session, len(s.daemons))
	for i, d := range s.daemons {
		sessions[i] = d.session
	}
	for until := time.Now().Add(soakPeriod); time.Now().Before(until); {
		time.Sleep(100*time.Millisecond + upTo(random, 500*time.Millisecond))
		at := random.IntN(len(s.daemons))
		d := &daemonProcess{session: sessions[at]}
		switch random.IntN(4) {
		case 0:
			d.signal(syscall.SIGHUP, syscall.SIGHUP)
		case 1:
			d.standStill(upTo(random, 400*time.Millisecond))
		case 2:
			d.signal(syscall.SIGPIPE)
		case 3:
			if stopped[at] {
				continue
			}
			stopped[at] = true
			d.signal(syscall.SIGTERM, syscall.SIGHUP)
			stopping.Go(func() {
				defer GinkgoRecover()
				Eventually(sessions[at], exitBound).Should(gexec.Exit(0), "seed %d", s.seed)
				s.start(s.daemons[at])
			})
		}
	}
	stopping.Wait()
}

// besiege sends one daemon signals until a time: it stands still, also while it stops or its connections are due, is
// killed, also while it stops, and started again.
func (s *soak) besiege(d *daemonProcess, random *rand.Rand, until time.Time) {
	defer GinkgoRecover()
	for time.Now().Before(until) {
		time.Sleep(50*time.Millisecond + upTo(random, 400*time.Millisecond))
		switch random.IntN(9) {
		case 0:
			d.signal(syscall.SIGHUP, syscall.SIGHUP)
		case 1:
			d.signal(syscall.SIGPIPE)
		case 2:
			s.standStill(d, 100*time.Millisecond+upTo(random, longestStandstill))
		case 3, 4, 5:
			s.stopStandingStill(d, random)
		case 6:
			if random.IntN(2) == 0 {
				d.signal(syscall.SIGTERM)
				time.Sleep(upTo(random, time.Second)) // it takes longer to end
			}
			s.kill(d)
		case 7, 8:
			s.expire(d, random)
		}
	}
}

// expire makes all connections that are kept due at once, while a daemon's process stands still.
func (s *soak) expire(d *daemonProcess, random *rand.Rand) {
	s.configure(longIdle, 3*time.Second)
	time.Sleep(upTo(random, 400*time.Millisecond))
	s.configure(shortIdle, 3*time.Second)
	time.Sleep(upTo(random, 50*time.Millisecond)) // the daemon may have read it by then
	s.standStill(d, shortIdle+upTo(random, longestStandstill))
}

// stopStandingStill stops a daemon, whose process stands still at moments of its grace and past its end.
func (s *soak) stopStandingStill(d *daemonProcess, random *rand.Rand) {
	Expect(d.session).NotTo(gexec.Exit(), "seed %d: it ended by itself", s.seed)
	d.signal(syscall.SIGTERM)
	for range 1 + random.IntN(2) {
		time.Sleep(upTo(random, closingPeriod))
		if random.IntN(2) == 0 {
			d.signal(syscall.SIGHUP, syscall.SIGTERM)
		}
		s.standStill(d, 100*time.Millisecond+upTo(random, longestStandstill))
	}
	Eventually(d.session, exitBound).Should(gexec.Exit(0), "seed %d", s.seed)
	s.start(d)
}

// kill ends a daemon's process at once, and starts it again.
func (s *soak) kill(d *daemonProcess) {
	Expect(d.session).NotTo(gexec.Exit(), "seed %d: it ended by itself", s.seed)
	began := time.Now()
	d.signal(syscall.SIGKILL)
	Eventually(d.session, exitBound).Should(gexec.Exit(), "seed %d", s.seed)
	s.mu.Lock()
	s.kills[d] = append(s.kills[d], soakKill{began: began, ended: time.Now()})
	s.mu.Unlock()
	s.start(d)
}

// standStill stops a daemon's process for a time.
func (s *soak) standStill(d *daemonProcess, period time.Duration) {
	began := time.Now()
	d.standStill(period)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halts[d] = append(s.halts[d], soakHalt{began: began, ended: time.Now()})
}
