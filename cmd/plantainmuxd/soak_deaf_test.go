package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	largeBytes     = 64 << 10               // more than the system of a deaf endpoint takes
	largeDeadline  = 3 * time.Second        // of each request, see soakHead
	drainPeriod    = 2 * time.Second        // in which an endpoint that leaves still gets requests, by the users' pages
	lateBound      = 500 * time.Millisecond // after a deadline or the time to drain
	longestDeaf    = 4 * time.Second        // longer than a deadline
	deafDepartures = 1
)

// startDeafDesk starts a plain service that can be made deaf, and callers of all daemons whose orders it cannot take then.
func (s *soak) startDeafDesk(pause time.Duration) {
	var err error
	s.deaf, err = s.daemons[0].wire.StartDeafenedDesk("n", "n-desk-deaf")
	Expect(err).NotTo(HaveOccurred())
	s.deaf.SetWorkTime(40 * time.Millisecond)
	for i, d := range s.daemons {
		for j := range soakLarge {
			s.largeOrders(fmt.Sprintf("large%d.%d", i, j), pause, d)
		}
	}
}

// largeOrders sends large orders, each on a connection of its own.
func (s *soak) largeOrders(name string, pause time.Duration, d *daemonProcess) {
	s.run(name, pause, func(id string, random *rand.Rand) {
		conn := s.dial(d)
		if conn == nil {
			return
		}
		defer func() { _ = conn.Close() }()
		path := s.path(random)
		o := conn.place(id, "large", soakHead(id, path+id, largeBytes), strings.Repeat("x", largeBytes-len(id))+id, 0)
		s.mu.Lock()
		defer s.mu.Unlock()
		if o != nil {
			s.large = append(s.large, o)
		}
	})
}

// deafen makes an endpoint deaf for periods until a time.
func (s *soak) deafen(random *rand.Rand, until time.Time) {
	defer GinkgoRecover()
	for time.Now().Before(until) {
		time.Sleep(upTo(random, time.Second))
		s.deaf.Deafen(true)
		time.Sleep(300*time.Millisecond + upTo(random, longestDeaf))
		s.deaf.Deafen(false)
	}
}

// departDeaf makes an endpoint leave while it is deaf, and read again once its time to drain is over.
func (s *soak) departDeaf(random *rand.Rand) {
	for range deafDepartures {
		s.deaf.Deafen(true)
		time.Sleep(100*time.Millisecond + upTo(random, 400*time.Millisecond)) // orders that come meanwhile wait beyond the bound
		d := soakDeparture{at: s.deaf.Depart()}
		time.Sleep(drainPeriod + lateBound + upTo(random, 200*time.Millisecond))
		s.deaf.Deafen(false)
		time.Sleep(lateBound)
		d.over = time.Now()
		s.departures = append(s.departures, d)
		_, err := s.deaf.Restart(upTo(random, 300*time.Millisecond), 0)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second) // it gets requests again
	}
}

// checkArrivals compares when large requests arrived whole at the endpoint that was deaf with its departures and their deadlines.
func (s *soak) checkArrivals() {
	arrivals := s.deaf.WholeArrivals()
	var faults []string
	arrived, unanswered := 0, 0
	for _, o := range s.large {
		if o.status != 200 {
			unanswered++
		}
		for _, at := range arrivals[o.id] {
			arrived++
			if fault := s.lateness(o, at); fault != "" {
				faults = append(faults, fmt.Sprintf("%s: %s%s at %s, status %d, %s; sent %s, arrived %s", fault, o.path, o.id, o.daemon.callers, o.status, o.ending, clock(o.sent), clock(at)))
			}
		}
	}
	GinkgoWriter.Println("soak, seed", s.seed, "large orders:", len(s.large), "not answered with 200:", unanswered, "arrivals at the deaf endpoint:", arrived)
	Expect(faults).To(BeEmpty(), "seed %d", s.seed)
	Expect(arrived).To(BeNumerically(">", 5), "seed %d", s.seed)
	Expect(unanswered).To(BeNumerically(">", 2), "seed %d: it was never deaf to any", s.seed)
}

// lateness returns in what an arrival is late, empty if it is not.
func (s *soak) lateness(o *soakOutcome, at time.Time) string {
	for _, d := range s.departures {
		if at.After(d.at.Add(drainPeriod+lateBound)) && at.Before(d.over) {
			return fmt.Sprintf("arrived %s after the endpoint had left", at.Sub(d.at))
		}
	}
	stoodStill := slices.ContainsFunc(s.halts[o.daemon], func(h soakHalt) bool { return h.began.Before(at) && o.sent.Before(h.ended) })
	if at.After(o.sent.Add(largeDeadline+lateBound)) && !stoodStill {
		return fmt.Sprintf("arrived %s after it was sent", at.Sub(o.sent))
	}
	return ""
}
