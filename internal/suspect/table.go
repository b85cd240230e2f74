// Package suspect records the requests that were in progress on groups that crashed,
// and decides which of them run isolated and which are refused.
package suspect

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashTTL is the time after which a crash expires.
	CrashTTL = 10 * time.Minute
	// maxRecords is the maximum of records in a table, which bounds its memory.
	maxRecords = 4096
)

type records map[uint64]record

// Table holds the suspects that a daemon knows. Reads are lock-free.
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

// Standing returns the treatment of a request at now.
func (t *Table) Standing(fingerprint uint64, now time.Time) Standing {
	entry, ok := (*t.current.Load())[fingerprint]
	if !ok || now.Sub(entry.last) > CrashTTL {
		return Clear
	}
	return entry.standing()
}

// Add records a crash of a request, unless the crash has expired.
func (t *Table) Add(crash Crash, now time.Time) {
	if now.Sub(crash.At) > CrashTTL {
		return
	}
	t.update(now, func(next records) {
		next[crash.Fingerprint] = next[crash.Fingerprint].with(crash)
	})
}

// Acquit removes a suspect that completed while it ran alone.
func (t *Table) Acquit(fingerprint uint64, now time.Time) {
	t.update(now, func(next records) { delete(next, fingerprint) })
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(*t.current.Load()) }

func (t *Table) update(now time.Time, change func(records)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.current.Load())
	maps.DeleteFunc(next, func(_ uint64, r record) bool { return now.Sub(r.last) > CrashTTL })
	change(next)
	next.dropOldest()
	t.current.Store(&next)
}

func (r records) dropOldest() {
	for len(r) > maxRecords {
		oldest, found := uint64(0), false
		for fingerprint, entry := range r {
			if !found || entry.last.Before(r[oldest].last) {
				oldest, found = fingerprint, true
			}
		}
		delete(r, oldest)
	}
}
