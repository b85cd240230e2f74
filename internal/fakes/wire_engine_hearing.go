package fakes

import "time"

// StartDeafenedWireEngine starts a plain service in a data centre that can be made deaf.
func StartDeafenedWireEngine(log *KeyedLog, zone, id, service string) (*WireEngine, error) {
	return startWireEngine(log, zone, id, service, "", func(e *WireEngine) {
		e.hearing = NewHearing()
		e.listen = e.hearing.Listen
	})
}

// Deafen makes the engine accept connections without reading them, or read again.
func (e *WireEngine) Deafen(deaf bool) { e.hearing.Deafen(deaf) }

// Depart writes into the engine's entry that it leaves, and returns when that had been written. The engine goes on until it is
// restarted.
func (e *WireEngine) Depart() time.Time {
	e.mu.Lock()
	e.departed = time.Now()
	e.mu.Unlock()
	e.register()
	return time.Now()
}

// WholeArrivals returns when the requests to a plain service had arrived whole, by ID.
func (e *WireEngine) WholeArrivals() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	arrivals := make(map[string][]time.Time, len(e.whole))
	for id, times := range e.whole {
		arrivals[id] = append([]time.Time(nil), times...)
	}
	return arrivals
}

func (e *WireEngine) recordWhole(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.whole[id] = append(e.whole[id], time.Now())
}
