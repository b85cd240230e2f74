package fakes

import (
	"maps"
	"slices"
	"time"
)

// Ran returns the number of runs of a request ID.
func (e *WireEngine) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// RequestsRun returns the IDs of the requests that have run.
func (e *WireEngine) RequestsRun() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.runs))
}

// Arrivals returns the number of requests that have arrived, rejected ones included.
func (e *WireEngine) Arrivals() int { return len(e.ArrivalTimes()) }

// ArrivalTimes returns when these requests arrived.
func (e *WireEngine) ArrivalTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// Crashes returns when the engine has crashed on a prompt part.
func (e *WireEngine) Crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashes)
}
