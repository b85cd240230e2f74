package fakes

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches that every stand-in has. The zero value is healthy.
type Faults struct {
	Down        bool `json:"down"`         // answer 503 and do nothing
	Frozen      bool `json:"frozen"`       // neither act nor answer until thawed
	LoseAnswers bool `json:"lose_answers"` // act, then cut the connection
	DelayMS     int  `json:"delay_ms"`     // wait before acting
	SlowMS      int  `json:"slow_ms"`      // least time of an answer, half of it after acting
	SlowestMS   int  `json:"slowest_ms"`   // longest time of an answer; drawn for each call
}

// Switches guards the faults of one stand-in.
type Switches struct {
	mu     sync.Mutex
	faults Faults
	thawed chan struct{} // closed when the faults change
}

// NewSwitches returns healthy switches.
func NewSwitches() *Switches {
	return &Switches{thawed: make(chan struct{})}
}

// Set replaces the faults.
func (s *Switches) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.thawed)
	s.thawed = make(chan struct{})
}

// Get returns the faults.
func (s *Switches) Get() Faults {
	faults, _ := s.load()
	return faults
}

func (s *Switches) load() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.thawed
}

// waitThawed blocks while frozen. It returns false when the caller went away.
func (s *Switches) waitThawed(r *http.Request) bool {
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

// wrap puts the faults before a handler.
func (s *Switches) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.waitThawed(r) {
			panic(http.ErrAbortHandler)
		}
		faults := s.Get()
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		held := faults.slowness() / 2
		time.Sleep(held)
		switch {
		case faults.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case faults.LoseAnswers:
			next.ServeHTTP(newDiscard(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(holdBack(w, held), r)
		}
	})
}

// slowness draws the time of one answer.
func (f Faults) slowness() time.Duration {
	least, longest := time.Duration(f.SlowMS)*time.Millisecond, time.Duration(f.SlowestMS)*time.Millisecond
	if longest <= least {
		return least
	}
	return least + rand.N(longest-least)
}

// handle lets a test or an operator of the stand-in set the faults over HTTP.
func (s *Switches) handle(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(faults)
	writeJSON(w, http.StatusOK, faults)
}
