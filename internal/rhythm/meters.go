package rhythm

import "sync"

// Meters holds the meter of each target, so that it persists across snapshots.
type Meters struct {
	mu    sync.Mutex
	byKey map[string]*Meter
}

// NewMeters returns an empty set of meters.
func NewMeters() *Meters { return &Meters{byKey: map[string]*Meter{}} }

// GetOrCreate returns the meter of a key and creates it if there is none.
func (m *Meters) GetOrCreate(key string) *Meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	meter := m.byKey[key]
	if meter == nil {
		meter = NewMeter()
		m.byKey[key] = meter
	}
	return meter
}

// Find returns the meter of a key, or nil if there is none.
func (m *Meters) Find(key string) *Meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byKey[key]
}

// Each calls f with each key and its meter.
func (m *Meters) Each(f func(key string, meter *Meter)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, meter := range m.byKey {
		f(key, meter)
	}
}

// Keep deletes the meters whose keys are not in kept and that have no request in
// progress.
func (m *Meters) Keep(kept map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, meter := range m.byKey {
		if !kept[key] && meter.InFlight() == 0 {
			delete(m.byKey, key)
		}
	}
}
