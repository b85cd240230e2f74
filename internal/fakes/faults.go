package fakes

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that every fake can inject. The zero value injects none.
type Faults struct {
	Down        bool `json:"down"`         // answer 503 without executing the request
	Frozen      bool `json:"frozen"`       // block all requests and the generation of tokens until cleared
	LoseAnswers bool `json:"lose_answers"` // execute the request, then close the connection without an answer
	DelayMS     int  `json:"delay_ms"`     // delay before executing a request
	SlowMS      int  `json:"slow_ms"`      // minimum latency: one half before execution, the other before the answer
	SlowestMS   int  `json:"slowest_ms"`   // maximum latency; drawn uniformly for each request
}

// FaultInjector holds the faults of one fake. It is safe for concurrent use.
type FaultInjector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the faults change
}

// NewFaultInjector returns a FaultInjector without faults.
func NewFaultInjector() *FaultInjector {
	return &FaultInjector{changed: make(chan struct{})}
}

// Set replaces the faults.
func (s *FaultInjector) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns the faults.
func (s *FaultInjector) Get() Faults {
	faults, _ := s.load()
	return faults
}

func (s *FaultInjector) load() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// waitWhileFrozen blocks while frozen. It returns false if the client disconnects.
func (s *FaultInjector) waitWhileFrozen(r *http.Request) bool {
	for {
		faults, changed := s.load()
		if !faults.Frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// withFaults wraps a handler with the injected faults.
func (s *FaultInjector) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.waitWhileFrozen(r) {
			panic(http.ErrAbortHandler)
		}
		faults := s.Get()
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		delay := faults.drawLatency() / 2
		time.Sleep(delay)
		switch {
		case faults.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case faults.LoseAnswers:
			next.ServeHTTP(newDiscardWriter(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(delayAnswer(w, delay), r)
		}
	})
}

// drawLatency returns the latency of one request, uniform between SlowMS and
// SlowestMS.
func (f Faults) drawLatency() time.Duration {
	shortest, longest := time.Duration(f.SlowMS)*time.Millisecond, time.Duration(f.SlowestMS)*time.Millisecond
	if longest <= shortest {
		return shortest
	}
	return shortest + rand.N(longest-shortest)
}

// handleSetFaults sets the faults over HTTP.
func (s *FaultInjector) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(faults)
	writeJSON(w, http.StatusOK, faults)
}
