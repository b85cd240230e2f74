package logstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// applyAll applies the records that follow the state.
func (s *Stream[F]) applyAll(records []infra.Record) error {
	applied, err := s.applyLocked(records)
	if applied > 0 {
		s.options.OnApply()
		s.wakeOwnCheckpoint()
	}
	return err
}

func (s *Stream[F]) applyLocked(records []infra.Record) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, record := range records {
		if record.Offset+1 == s.state.next && xxhash.Sum64(record.Data) != s.state.last {
			return applied, &RewrittenError{Stream: s.name, Offset: record.Offset}
		}
		if record.Offset != s.state.next {
			continue
		}
		s.applyOne(record)
		applied++
	}
	return applied, nil
}

func (s *Stream[F]) applyOne(record infra.Record) {
	var entry Entry
	readable := Unmarshal(record.Data, &entry) == nil
	if readable && entry.Kind.internal() {
		s.noteArrival(record.Offset, entry)
	}
	s.snapshots.since += len(record.Data)
	verdict, ok := s.state.apply(record, entry, readable)
	s.next.Store(uint64(s.state.next))
	s.counters.records.Inc()
	if !ok {
		s.counters.ignored.Inc()
	}
	if ok && entry.Writer == s.options.Writer {
		s.writer.settle(entry.Seq, Receipt{Offset: record.Offset, Void: verdict})
	}
	if record.Offset%infra.Offset(s.options.SnapshotEvery) == 0 {
		s.takeCheckpoint()
		s.snapshots.own = ok && entry.Writer == s.options.Writer
	}
}
