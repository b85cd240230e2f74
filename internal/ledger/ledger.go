package ledger

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Topic is the name of the topic of group records.
const Topic = "keyed.groups"

// OpeningKey is the key of the deletion that opens an empty ledger. It takes the position whose
// ordinal is 0, so that every group has a higher epoch than an order that was sent before.
// Deletions precede grants in a proposal, and daemons of any version pass over one of no group.
const OpeningKey = "opening"

// Ledger is this daemon's view of the group records.
type Ledger struct {
	log      keyed.Log
	logger   *slog.Logger
	onChange func()

	mu        sync.Mutex
	deletedAt map[string]uint64 // ordinal of the last deletion of a group, by name
	current   atomic.Pointer[State]
	eraSince  atomic.Int64 // Unix nanoseconds; 0 before the first batch
}

// New returns an empty ledger. onChange is called after each change.
func New(log keyed.Log, logger *slog.Logger, onChange func()) *Ledger {
	l := &Ledger{log: log, logger: logger, onChange: onChange, deletedAt: map[string]uint64{}}
	l.current.Store(emptyState())
	return l
}

// Load returns the latest state.
func (l *Ledger) Load() *State { return l.current.Load() }

// EraAge returns for how long this daemon has read the ledger in the store's current era, 0 if
// it has not been read yet.
func (l *Ledger) EraAge(now time.Time) time.Duration {
	since := l.eraSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// Apply merges a batch of records that a follower has read.
func (l *Ledger) Apply(batch keyed.Batch) {
	if l.apply(batch) {
		l.onChange()
	}
}

// apply merges a batch and reports whether there was anything to merge.
func (l *Ledger) apply(batch keyed.Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current.Load()
	switch {
	case batch.Empty() && batch.End <= old.End, batch.Era < old.Era:
		return false
	case batch.Era > old.Era && l.eraSince.Load() != 0:
		if !batch.Complete {
			return false // the follower reads the topic anew
		}
		l.current.Store(l.restore(old, batch))
		l.eraSince.Store(time.Now().UnixNano())
		return true
	}
	next := old.clone()
	next.Era = batch.Era
	l.eraSince.CompareAndSwap(0, time.Now().UnixNano())
	if batch.Complete && batch.End >= old.End {
		maps.DeleteFunc(next.Groups, func(name string, _ *Record) bool { return !next.Forgotten[name] })
	}
	for _, record := range batch.Records {
		l.applyRecord(next, record)
	}
	next.End = max(next.End, batch.End)
	l.current.Store(next)
	return true
}

func (l *Ledger) applyRecord(next *State, stored keyed.Record) {
	position := keyed.Position{Era: next.Era, Offset: stored.Offset}.Ordinal()
	known := next.Groups[stored.Key]
	if known != nil && known.position >= position {
		return
	}
	if stored.Value == nil {
		next.remove(stored.Key)
		l.deletedAt[stored.Key] = position
		l.logger.Info("group record deleted", "group", stored.Key, "offset", stored.Offset, "era", next.Era)
		return
	}
	group := l.decode(stored, next.Era)
	if group == nil || known != nil && known.Epoch > group.Epoch {
		return // another daemon has written an older record again than this one knows
	}
	next.put(group)
	l.logger.Info("group granted", "group", group.Group, "epoch", group.Epoch, "model", group.Model, "head", group.Head().ID, "ending", group.Dissolving)
}

// decode returns the record that is stored in an era, nil if it is invalid.
func (l *Ledger) decode(stored keyed.Record, era uint64) *Record {
	group := &Record{}
	if err := cbor.Unmarshal(stored.Value, group); err != nil || len(group.Members) == 0 {
		l.logger.Error("invalid group record ignored", "group", stored.Key, "offset", stored.Offset, "error", merry.Wrap(err))
		return nil
	}
	group.Group = stored.Key
	group.Epoch = group.epochAt(stored.Offset)
	group.position = keyed.Position{Era: era, Offset: stored.Offset}.Ordinal()
	return group
}

// Propose appends new group records and the deletions of the groups named in
// drops, provided that the topic still ends where state ends. On success it also
// applies them to this ledger. It fails with a keyed.ConflictError if the topic has
// newer records, and with an EraChangedError if the store has come back from a copy.
func (l *Ledger) Propose(ctx context.Context, state *State, grants []*Record, drops []string) error {
	records, err := encode(state.Era, grants, drops)
	if err != nil {
		return err
	}
	first, err := l.log.Append(ctx, Topic, state.End, records)
	if err != nil {
		return err
	}
	if first.Era != state.Era {
		return &EraChangedError{Planned: state.Era, Era: first.Era}
	}
	for i := range records {
		records[i].Offset = first.Offset + uint64(i)
	}
	l.Apply(keyed.Batch{Records: records, End: first.Offset + uint64(len(records)), Era: first.Era})
	return nil
}

func encode(era uint64, grants []*Record, drops []string) ([]keyed.Record, error) {
	var records []keyed.Record
	for _, name := range drops {
		records = append(records, keyed.Record{Key: name})
	}
	for _, grant := range grants {
		written := *grant
		written.Era = era
		value, err := cbor.Marshal(&written)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		records = append(records, keyed.Record{Key: grant.Group, Value: value})
	}
	return records, nil
}
