package logstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// state is a fold with the bookkeeping that every stream needs: the next
// offset, the digest of the last record and what is known of each writer.
type state[F Fold] struct {
	fold    F
	next    infra.Offset
	last    uint64 // digest of the record at next-1; 0 when there is none
	writers map[string]writerState
	window  infra.Offset
}

func newState[F Fold](empty F) state[F] {
	return state[F]{
		fold:    empty,
		next:    infra.FirstOffset,
		writers: map[string]writerState{},
		window:  writerWindow(empty),
	}
}

// apply folds one record of the log and returns the verdict on its entry. A
// repeated or unreadable record returns ok false.
func (s *state[F]) apply(record infra.Record, entry Entry, readable bool) (verdict error, ok bool) {
	s.next = record.Offset + 1
	s.last = xxhash.Sum64(record.Data)
	if !readable {
		return nil, false
	}
	if entry.Seq <= s.seqOf(entry.Writer, record.Offset) {
		return nil, false
	}
	if entry.Since+s.window < record.Offset {
		return &StaleError{Offset: record.Offset, Since: entry.Since, Window: s.window}, true
	}
	s.writers[entry.Writer] = writerState{Seq: entry.Seq, Last: record.Offset}
	if entry.Kind.internal() {
		return nil, true
	}
	at := Position{Offset: record.Offset, Time: entry.Time(), Writer: entry.Writer}
	return s.fold.Apply(at, entry.Kind, entry.Body), true
}

// seqOf returns the highest sequence number of a writer, 0 when it is
// forgotten.
func (s *state[F]) seqOf(writer string, at infra.Offset) uint64 {
	known := s.writers[writer]
	if known.idle(at, s.window) {
		return 0
	}
	return known.Seq
}

// restore replaces the state by a snapshot.
func (s *state[F]) restore(from snapshot) error {
	if err := s.fold.Decode(from.State); err != nil {
		return err
	}
	s.next = from.AsOf + 1
	s.last = from.Last
	s.writers = from.Writers
	if s.writers == nil {
		s.writers = map[string]writerState{}
	}
	return nil
}
