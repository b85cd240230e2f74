package awake

import (
	"sync"
	"time"
)

// Lateness is how late a periodic task may run in a process that does not stand still: longer than the pauses of one
// whose processor time is a quota of each 0.1 s.
const Lateness = 120 * time.Millisecond

// maxStandstills bounds the standstills that are remembered. Older ones count as time that the process ran.
const maxStandstills = 16

// Standstills remembers when a process stood still, from the times at which a periodic task runs, so that silence of
// others counts only as far as the process could have heard them. Before the first look there are none. It is safe for
// concurrent use; a nil one knows of none.
type Standstills struct {
	Interval time.Duration // of the task

	mu     sync.Mutex
	last   time.Time
	recent []standstill // oldest first
}

type standstill struct{ from, to time.Time }

// Look records a run of the task. It returns for how long the process stood still since the last one.
func (s *Standstills) Look(now time.Time) (stood time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late, ok := s.sinceLast(now); ok {
		stood = late.to.Sub(late.from)
		s.recent = append(s.recent, late)
		s.recent = s.recent[max(len(s.recent)-maxStandstills, 0):]
	}
	if now.After(s.last) {
		s.last = now
	}
	return stood
}

// Stood returns for how much of the time from since to now the process stood still, also before Look on waking.
func (s *Standstills) Stood(since, now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var stood time.Duration
	for _, past := range s.recent {
		stood += past.within(since, now)
	}
	if late, ok := s.sinceLast(now); ok {
		stood += late.within(since, now)
	}
	return stood
}

// Ran returns for how much of the time from since to now the process ran.
func (s *Standstills) Ran(since, now time.Time) time.Duration {
	return now.Sub(since) - s.Stood(since, now)
}

// sinceLast returns the standstill that ends now, if the task is late for one. The caller holds mu.
func (s *Standstills) sinceLast(now time.Time) (late standstill, ok bool) {
	due := s.last.Add(s.Interval)
	return standstill{from: due, to: now}, !s.last.IsZero() && now.Sub(due) >= Lateness
}

// within returns how much of a standstill lies between two times.
func (s standstill) within(since, until time.Time) time.Duration {
	from, to := s.from, s.to
	if since.After(from) {
		from = since
	}
	if until.Before(to) {
		to = until
	}
	return max(to.Sub(from), 0)
}
