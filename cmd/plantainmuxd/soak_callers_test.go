package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// orders sends orders on a connection that is used until the daemon closes it or says so, some with a slow body. from
// names the daemon of each connection.
func (s *soak) orders(name string, pause time.Duration, from func(*rand.Rand) *daemonProcess) {
	var conn *soakConn
	s.run(name, pause, func(id string, random *rand.Rand) {
		if conn == nil {
			if conn = s.dial(from(random)); conn == nil {
				return
			}
		}
		var slow time.Duration
		if random.IntN(8) == 0 {
			slow = resetPeriod + upTo(random, 2500*time.Millisecond)
		}
		o := conn.order(s.path(random), id, slow)
		s.record(o)
		if o == nil || o.ending != answered || conn.told { // after "Connection: close" nothing more may be sent
			_ = conn.Close()
			conn = nil
		}
	})
}

// path returns the path of an order: half of them are below a lane, if there are any.
func (s *soak) path(random *rand.Rand) string {
	if !s.lanes {
		return "/order/"
	}
	prefixes := []string{"/order/", comingAndGoing, safeToRepeat}
	number := random.IntN(2 * len(prefixes) * soakLanes)
	if lane := number / len(prefixes); lane < soakLanes {
		return fmt.Sprintf("%s%d/", prefixes[number%len(prefixes)], lane)
	}
	return "/order/"
}

// newcomers sends orders, each on a connection of its own.
func (s *soak) newcomers(name string, pause time.Duration, d *daemonProcess) {
	s.run(name, pause, func(id string, random *rand.Rand) {
		if conn := s.dial(d); conn != nil {
			defer func() { _ = conn.Close() }()
			s.record(conn.order(s.path(random), id, 0))
		}
	})
}

// streams reads streams, each on a connection of its own.
func (s *soak) streams(name string, pause time.Duration) {
	s.run(name, pause, func(id string, random *rand.Rand) {
		if conn := s.dial(s.any(random)); conn != nil {
			defer func() { _ = conn.Close() }()
			s.record(conn.stream(id))
		}
	})
}

// strays opens connections that bring half a head, nothing, or a stream that is not read.
func (s *soak) strays(name string, pause time.Duration) {
	s.run(name, pause, func(id string, random *rand.Rand) {
		conn := s.dial(s.any(random))
		if conn == nil {
			return
		}
		text := soakHead(id, "/talk/"+id, 0)
		_, _ = io.WriteString(conn, []string{"", text[:random.IntN(len(text))], text}[random.IntN(3)])
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open = append(s.open, conn)
	})
}
