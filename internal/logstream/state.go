package logstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// state is a fold with the data that every stream needs: the next offset, the
// digest of the last record and the last sequence number of each writer.
type state[F Fold] struct {
	fold        F
	next        infra.Offset
	lastDigest  uint64 // digest of the record at next-1; 0 when there is none
	writers     map[string]writerState
	dedupWindow infra.Offset
}

func newState[F Fold](empty F) state[F] {
	return state[F]{
		fold:        empty,
		next:        infra.FirstOffset,
		writers:     map[string]writerState{},
		dedupWindow: dedupWindow(empty),
	}
}

// apply applies one record. It returns the reason for which the record is void, or
// nil when it was accepted; ok is false when the record is a duplicate or cannot be
// decoded.
func (s *state[F]) apply(record infra.Record, entry Entry, decoded bool) (reason error, ok bool) {
	s.next = record.Offset + 1
	s.lastDigest = xxhash.Sum64(record.Data)
	if !decoded {
		return nil, false
	}
	if entry.Seq <= s.highestSeq(entry.Writer, record.Offset) {
		return nil, false
	}
	if entry.Since+s.dedupWindow < record.Offset {
		return &StaleError{Offset: record.Offset, Since: entry.Since, Window: s.dedupWindow}, true
	}
	s.writers[entry.Writer] = writerState{Seq: entry.Seq, Last: record.Offset}
	if entry.Kind.internal() {
		return nil, true
	}
	at := Position{Offset: record.Offset, Time: entry.Time(), Writer: entry.Writer}
	return s.fold.Apply(at, entry.Kind, entry.Body), true
}

// highestSeq returns the highest sequence number seen from a writer, or 0 when the
// writer is unknown or idle.
func (s *state[F]) highestSeq(writer string, at infra.Offset) uint64 {
	known := s.writers[writer]
	if known.idle(at, s.dedupWindow) {
		return 0
	}
	return known.Seq
}

// restore replaces the state by that of a snapshot.
func (s *state[F]) restore(from snapshot) error {
	if err := s.fold.Decode(from.State); err != nil {
		return err
	}
	s.next = from.AsOf + 1
	s.lastDigest = from.Last
	s.writers = from.Writers
	if s.writers == nil {
		s.writers = map[string]writerState{}
	}
	return nil
}
