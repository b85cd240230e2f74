package ledger

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Topic is the name of the topic of group records.
const Topic = "keyed.groups"

// Ledger is this daemon's view of the group records.
type Ledger struct {
	log      keyed.Log
	logger   *slog.Logger
	onChange func()

	mu      sync.Mutex
	current atomic.Pointer[State]
}

// New returns an empty ledger. onChange is called after each change.
func New(log keyed.Log, logger *slog.Logger, onChange func()) *Ledger {
	l := &Ledger{log: log, logger: logger, onChange: onChange}
	l.current.Store(&State{Groups: map[string]*Record{}})
	return l
}

// Load returns the latest state.
func (l *Ledger) Load() *State { return l.current.Load() }

// Apply merges a batch of records that a follower has read.
func (l *Ledger) Apply(batch keyed.Batch) {
	if batch.Empty() && batch.End <= l.current.Load().End {
		return
	}
	l.mu.Lock()
	old := l.current.Load()
	next := &State{Groups: maps.Clone(old.Groups), End: old.End}
	if batch.Whole && batch.End >= old.End {
		next.Groups = map[string]*Record{}
	}
	for _, record := range batch.Records {
		l.applyRecord(next, record)
	}
	next.End = max(next.End, batch.End)
	l.current.Store(next)
	l.mu.Unlock()
	l.onChange()
}

func (l *Ledger) applyRecord(next *State, record keyed.Record) {
	if known := next.Groups[record.Key]; known != nil && known.Epoch >= record.Offset {
		return
	}
	if record.Value == nil {
		delete(next.Groups, record.Key)
		l.logger.Info("group record deleted", "group", record.Key, "offset", record.Offset)
		return
	}
	group := &Record{}
	if err := cbor.Unmarshal(record.Value, group); err != nil || len(group.Members) == 0 {
		l.logger.Error("invalid group record ignored", "group", record.Key, "offset", record.Offset, "error", merry.Wrap(err))
		return
	}
	group.Group = record.Key
	group.Epoch = record.Offset
	next.Groups[record.Key] = group
	l.logger.Info("group granted", "group", group.Group, "epoch", group.Epoch, "model", group.Model, "head", group.Head().ID, "ending", group.Ending)
}

// Propose appends new group records and the deletions of the groups named in
// drops, provided that the topic still ends where state ends. On success it also
// applies them to this ledger. It fails with a keyed.ConflictError if the topic has
// newer records.
func (l *Ledger) Propose(ctx context.Context, state *State, grants []*Record, drops []string) error {
	records, err := encode(grants, drops)
	if err != nil {
		return err
	}
	first, err := l.log.Append(ctx, Topic, state.End, records)
	if err != nil {
		return err
	}
	for i := range records {
		records[i].Offset = first + uint64(i)
	}
	l.Apply(keyed.Batch{Records: records, End: first + uint64(len(records))})
	return nil
}

func encode(grants []*Record, drops []string) ([]keyed.Record, error) {
	var records []keyed.Record
	for _, name := range drops {
		records = append(records, keyed.Record{Key: name})
	}
	for _, grant := range grants {
		value, err := cbor.Marshal(grant)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		records = append(records, keyed.Record{Key: grant.Group, Value: value})
	}
	return records, nil
}
