package fakes

import (
	"sync"
	"time"
)

// StreamFaults spoil the streams of an engine's answers. The zero value is
// healthy.
type StreamFaults struct {
	CutBefore    int    // end each connection once, before the frame of this index; -1 before any byte, 0 is none
	CutEach      bool   // end a connection before every frame but its first
	Cross        bool   // send frames of another attempt in between
	Duplicate    bool   // send every frame twice
	Reorder      bool   // on the first connection, send the frames in pairs, the later one first
	Status       int    // answer this status instead of running a request
	Refuse       string // refuse each request with this code
	RefuseResume string // refuse with this code to go on with an attempt
	Forget       bool   // lose the attempt when its connection is cut

	CacheLag time.Duration // publish cache events so much later
	CacheGap bool          // leave out the older half of the cache events of each answer
}

// streamSwitches guards the stream faults of an engine.
type streamSwitches struct {
	mu      sync.Mutex
	faults  StreamFaults
	spoiled map[string]bool // attempts that had their one fault
}

// SetStreamFaults replaces the stream faults.
func (s *streamSwitches) SetStreamFaults(faults StreamFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.spoiled = map[string]bool{}
}

// failing returns the faults that strike before a request runs: a status or a
// code of a refusal.
func (s *streamSwitches) failing(attempt string) (status int, refuse string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoiled[attempt] && s.faults.RefuseResume != "" {
		return 0, s.faults.RefuseResume
	}
	return s.faults.Status, s.faults.Refuse
}

// cacheFaults returns the faults of cache events.
func (s *streamSwitches) cacheFaults() StreamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// forConnection returns the faults of a connection of an attempt. Those that
// strike once are left out from the second connection on.
func (s *streamSwitches) forConnection(attempt string) StreamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.spoiled[attempt] {
		faults.CutBefore, faults.Reorder = 0, false
	}
	if s.spoiled != nil {
		s.spoiled[attempt] = true
	}
	return faults
}
