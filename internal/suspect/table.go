// Package suspect keeps the requests that were in progress on groups that died,
// and decides which of them run alone and which are refused.
package suspect

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Life is how long a crash is held against a request.
	Life = 10 * time.Minute
	// maxRecords bounds the memory of a table.
	maxRecords = 4096
)

type records map[uint64]record

// Table holds the suspects that a daemon knows. Readers take one atomic load.
type Table struct {
	mu      sync.Mutex // serialises writers
	current atomic.Pointer[records]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&records{})
	return t
}

// Standing returns how a request is to be treated at now.
func (t *Table) Standing(fingerprint uint64, now time.Time) Standing {
	held, ok := (*t.current.Load())[fingerprint]
	if !ok || now.Sub(held.last) > Life {
		return Clear
	}
	return held.standing()
}

// Add holds a crash against a request.
func (t *Table) Add(crash Crash, now time.Time) {
	if now.Sub(crash.At) > Life {
		return
	}
	t.update(now, func(next records) {
		next[crash.Fingerprint] = next[crash.Fingerprint].with(crash)
	})
}

// Acquit forgets a suspect that ran alone to its end.
func (t *Table) Acquit(fingerprint uint64, now time.Time) {
	t.update(now, func(next records) { delete(next, fingerprint) })
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(*t.current.Load()) }

func (t *Table) update(now time.Time, change func(records)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.current.Load())
	maps.DeleteFunc(next, func(_ uint64, r record) bool { return now.Sub(r.last) > Life })
	change(next)
	next.dropOldest()
	t.current.Store(&next)
}

func (r records) dropOldest() {
	for len(r) > maxRecords {
		oldest, found := uint64(0), false
		for fingerprint, held := range r {
			if !found || held.last.Before(r[oldest].last) {
				oldest, found = fingerprint, true
			}
		}
		delete(r, oldest)
	}
}
