package logstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// applyRecords applies the records that continue the current state, then runs
// the OnApply callback. It fails with RewrittenError when the last applied
// record differs from the one in records.
func (s *Stream[F]) applyRecords(records []infra.Record) error {
	applied, err := s.applyUnderLock(records)
	if applied > 0 {
		s.options.OnApply()
		s.wakeForOwnCheckpoint()
	}
	return err
}

func (s *Stream[F]) applyUnderLock(records []infra.Record) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, record := range records {
		if record.Offset+1 == s.state.next && xxhash.Sum64(record.Data) != s.state.lastDigest {
			return applied, &RewrittenError{Stream: s.name, Offset: record.Offset}
		}
		if record.Offset != s.state.next {
			continue
		}
		s.applyRecord(record)
		applied++
	}
	return applied, nil
}

func (s *Stream[F]) applyRecord(record infra.Record) {
	var entry Entry
	decoded := Unmarshal(record.Data, &entry) == nil
	if decoded && entry.Kind.internal() {
		s.handleSnapshotRecord(record.Offset, entry)
	}
	s.snapshots.bytesSinceNewest += len(record.Data)
	reason, ok := s.state.apply(record, entry, decoded)
	s.next.Store(uint64(s.state.next))
	s.counters.records.Inc()
	if !ok {
		s.counters.ignored.Inc()
	}
	if ok && entry.Writer == s.options.Writer {
		s.writer.resolve(entry.Seq, Receipt{Offset: record.Offset, Void: reason})
	}
	if record.Offset%infra.Offset(s.options.SnapshotEvery) == 0 {
		s.takeCheckpoint()
		s.snapshots.ownCheckpoint = ok && entry.Writer == s.options.Writer
	}
}
