// Package suspect records what the requests had in common that were in progress on groups which
// crashed, and decides which requests run isolated and which are refused. The cause of a crash may
// be a request as a whole or one part of its prompt, whatever else the request holds.
package suspect

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashTTL is the time after which a crash expires. A refusal for it extends that time.
	CrashTTL = 10 * time.Minute
	// maxRecords is the maximum of records in a table, which bounds its memory.
	maxRecords = 4096
	// refreshAfter is the age from which on a refusal extends a record.
	refreshAfter = CrashTTL / 20
)

// Table holds the suspects that a daemon knows. Reads are lock-free.
type Table struct {
	policy  Policy
	sound   soundParts
	mu      sync.Mutex // serialises writers
	current atomic.Pointer[state]
}

// NewTable returns an empty table.
func NewTable(policy Policy) *Table {
	t := &Table{policy: policy}
	t.current.Store(&state{})
	return t
}

// Standing returns the treatment of a request at now: the hardest of those of its traits.
func (t *Table) Standing(s Subject, now time.Time) Standing {
	if len(t.current.Load().records) == 0 {
		return Clear
	}
	hardest := Clear
	for _, trait := range s.Traits() {
		hardest = max(hardest, t.standingOf(trait, now))
	}
	return hardest
}

// standingOf returns the treatment that follows from one trait. A part is never isolated, since
// sound requests share it.
func (t *Table) standingOf(trait Trait, now time.Time) Standing {
	current := t.current.Load()
	entry, ok := current.records[trait]
	_, refused := current.refused[trait]
	switch {
	case !ok || now.Sub(entry.last) > CrashTTL:
		return Clear
	case refused:
		return Refused
	case t.policy.Isolates && !trait.Part && entry.count(t.policy, now) > 0:
		return Isolated
	default:
		return Clear
	}
}

// Review judges again: crashes count only after a time. It returns the prompt parts that are
// refused, with the number of crashes of each.
func (t *Table) Review(now time.Time) map[uint64]int {
	current := t.current.Load()
	if len(current.records) == 0 {
		return nil
	}
	current = t.judgeAgain(now)
	var parts map[uint64]int
	for trait := range current.refused {
		if !trait.Part {
			continue
		}
		if parts == nil {
			parts = map[uint64]int{}
		}
		parts[trait.Hash] = current.records[trait].count(t.policy, now)
	}
	return parts
}

// Add records a crash of a request, unless the crash has expired.
func (t *Table) Add(crash Crash, now time.Time) {
	if now.Sub(crash.At) > CrashTTL {
		return
	}
	t.update(now, func(next records) {
		for _, trait := range crash.Traits() {
			entry := next[trait].with(crash.key(), observation{at: crash.At, alone: crash.Alone}, now)
			entry.sound = entry.sound || trait.Part && t.sound.contains(trait.Hash, now)
			next[trait] = entry
		}
	})
}

// Clear records that a request was answered, or has been writing its answer for a while. It
// clears the crashes that are known of its traits, since none of them can be the cause. It
// reports whether there were any.
func (t *Table) Clear(s Subject, now time.Time) bool {
	t.sound.add(s.Parts, now)
	if !t.accuses(s) {
		return false
	}
	t.update(now, func(next records) {
		for _, trait := range s.Traits() {
			if entry, ok := next[trait]; ok {
				entry = entry.cleared(func(GroupKey) bool { return true }, now)
				entry.sound, entry.trials = entry.sound || trait.Part, 0
				next[trait] = entry
			}
		}
	})
	return true
}

// accuses reports whether a crash of one of the request's traits is known and not cleared.
func (t *Table) accuses(s Subject) bool {
	current := t.current.Load().records
	if len(current) == 0 {
		return false
	}
	for _, trait := range s.Traits() {
		if current[trait].accused() {
			return true
		}
	}
	return false
}

// ClearGroup clears the crashes of a group that goes on: only connections to it broke.
func (t *Table) ClearGroup(key GroupKey, now time.Time) {
	t.update(now, func(next records) {
		for trait, entry := range next {
			next[trait] = entry.cleared(func(crashed GroupKey) bool { return crashed == key }, now)
		}
	})
}

// Extend keeps the records for which a request was refused from expiring.
func (t *Table) Extend(s Subject, now time.Time) {
	current := t.current.Load().records
	for _, trait := range s.Traits() {
		if entry, ok := current[trait]; !ok || now.Sub(entry.last) < refreshAfter || t.standingOf(trait, now) != Refused {
			continue
		}
		t.update(now, func(next records) {
			if entry, ok := next[trait]; ok {
				entry.last = now
				next[trait] = entry
			}
		})
	}
}

// Crashed returns when each group crashed that has crashed since a time and was not cleared.
func (t *Table) Crashed(since time.Time) map[GroupKey]time.Time {
	var crashed map[GroupKey]time.Time
	for _, entry := range t.current.Load().records {
		for key, crash := range entry.crashes {
			if crash.cleared || crash.at.Before(since) {
				continue
			}
			if crashed == nil {
				crashed = map[GroupKey]time.Time{}
			}
			if at, ok := crashed[key]; !ok || crash.at.After(at) {
				crashed[key] = crash.at
			}
		}
	}
	return crashed
}

// Len returns the number of traits with crashes that were not cleared.
func (t *Table) Len() int {
	accused := 0
	for _, entry := range t.current.Load().records {
		if entry.accused() {
			accused++
		}
	}
	return accused
}

// Prune forgets parts of which no request was answered lately.
func (t *Table) Prune(now time.Time) { t.sound.prune(now) }

// judgeAgain judges the records as they are.
func (t *Table) judgeAgain(now time.Time) *state {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	next := &state{records: current.records, refused: judge(current.records, t.policy, now)}
	t.current.Store(next)
	return next
}

// update changes a copy of the records, without those that have expired, and judges it.
func (t *Table) update(now time.Time, change func(records)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(t.current.Load().records)
	if next == nil {
		next = records{}
	}
	maps.DeleteFunc(next, func(_ Trait, r record) bool { return now.Sub(r.last) > CrashTTL })
	change(next)
	next.dropOldest()
	t.current.Store(&state{records: next, refused: judge(next, t.policy, now)})
}
