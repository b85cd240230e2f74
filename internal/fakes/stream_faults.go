package fakes

import (
	"sync"
	"time"
)

// StreamFaults are the faults that an engine injects into the streams of its
// answers. The zero value injects none.
type StreamFaults struct {
	CutBefore    int    // close the first connection of each attempt before the frame of this index; -1: before the header; 0: never
	CutEach      bool   // close every connection after its first frame
	Cross        bool   // send a frame of another attempt before each frame
	Duplicate    bool   // send every frame twice
	Reorder      bool   // on the first connection of an attempt, swap each pair of frames
	Status       int    // HTTP status to answer instead of running a request; 0: none
	Refuse       string // code to refuse each request with; empty: none
	RefuseResume string // code to refuse the resumption of an attempt with; empty: none
	Forget       bool   // discard the attempt when its connection is closed by a fault

	CacheLag time.Duration // delay of the publication of cache events
	CacheGap bool          // omit the older half of the cache events of each answer
}

// streamFaultInjector holds the stream faults of an engine. It is safe for
// concurrent use.
type streamFaultInjector struct {
	mu      sync.Mutex
	faults  StreamFaults
	faulted map[string]bool // attempts that had a connection since the faults were set
}

// SetStreamFaults replaces the stream faults.
func (s *streamFaultInjector) SetStreamFaults(faults StreamFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.faulted = map[string]bool{}
}

// faultBeforeRun returns the fault that replaces the run of a request: an HTTP
// status or the code of a refusal.
func (s *streamFaultInjector) faultBeforeRun(attempt string) (status int, refuse string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulted[attempt] && s.faults.RefuseResume != "" {
		return 0, s.faults.RefuseResume
	}
	return s.faults.Status, s.faults.Refuse
}

// streamFaults returns the configured stream faults.
func (s *streamFaultInjector) streamFaults() StreamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// forConnection returns the faults of a new connection of an attempt. CutBefore
// and Reorder apply only to its first connection.
func (s *streamFaultInjector) forConnection(attempt string) StreamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.faulted[attempt] {
		faults.CutBefore, faults.Reorder = 0, false
	}
	if s.faulted != nil {
		s.faulted[attempt] = true
	}
	return faults
}
