package ledger

import (
	"maps"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// restore returns the state after the store has come back from an older copy with the given
// records. Groups that this daemon knows of go on, so that what serves keeps serving: a record
// that the copy lacks or holds in an older form is kept as forgotten, until a planner writes it
// again. A record that the copy still holds although it was deleted is left out as resurrected.
// What the store has granted to others since the change goes before what it has forgotten.
func (l *Ledger) restore(old *State, batch keyed.Batch) *State {
	next := emptyState()
	next.End, next.Era = batch.End, batch.Era
	for _, stored := range batch.Records {
		record := l.decode(stored, batch.Era)
		switch {
		case record == nil:
		case l.deletedAt[record.Group] > record.Epoch && old.Groups[record.Group] == nil:
			next.Resurrected[record.Group] = record
		default:
			next.Groups[record.Group] = record
		}
	}
	stored := maps.Clone(next.Groups)
	for name, known := range old.Groups {
		if copied := stored[name]; copied != nil && copied.Epoch >= known.Epoch {
			continue
		}
		if l.grantedSince(known, stored, batch.Era) {
			continue
		}
		next.Groups[name] = known
		next.Forgotten[name] = true
	}
	l.logger.Warn("ledger restored from an older copy of the store", "era", batch.Era, "end", batch.End, "previous_end", old.End,
		"groups", len(next.Groups), "forgotten", len(next.Forgotten), "resurrected", len(next.Resurrected))
	return next
}

// grantedSince reports whether a record written in the new era grants a member of a forgotten
// record to another group.
func (l *Ledger) grantedSince(forgotten *Record, stored map[string]*Record, era uint64) bool {
	for _, record := range stored {
		if record.Group != forgotten.Group && record.Era >= era && record.sharesMember(forgotten) {
			return true
		}
	}
	return false
}
