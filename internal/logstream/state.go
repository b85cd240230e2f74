package logstream

import (
	"github.com/plantainmux/plantainmux/internal/platform"
)

// state is a fold with the bookkeeping that every stream needs: the next
// offset and the highest sequence number of each writer.
type state[F Fold] struct {
	fold    F
	next    platform.Offset
	writers map[string]uint64
}

// apply folds one record of the log and returns its entry and verdict. A
// repeated record returns ok false.
func (s *state[F]) apply(record platform.Record) (entry Entry, verdict error, ok bool) {
	s.next = record.Offset + 1
	if err := Unmarshal(record.Data, &entry); err != nil {
		return entry, nil, false
	}
	if entry.Seq <= s.writers[entry.Writer] {
		return entry, nil, false
	}
	s.writers[entry.Writer] = entry.Seq
	if entry.Kind == KindSnapshot || entry.Kind == KindFence {
		return entry, nil, true
	}
	at := Position{Offset: record.Offset, Time: entry.Time(), Writer: entry.Writer}
	return entry, s.fold.Apply(at, entry.Kind, entry.Body), true
}

// encode returns a snapshot of the state.
func (s *state[F]) encode() (snapshot, error) {
	data, err := s.fold.Encode()
	if err != nil {
		return snapshot{}, err
	}
	writers := make(map[string]uint64, len(s.writers))
	for writer, seq := range s.writers {
		writers[writer] = seq
	}
	return snapshot{AsOf: s.next - 1, Writers: writers, State: data}, nil
}

// restore replaces the state by a snapshot.
func (s *state[F]) restore(from snapshot) error {
	if err := s.fold.Decode(from.State); err != nil {
		return err
	}
	s.next = from.AsOf + 1
	s.writers = from.Writers
	if s.writers == nil {
		s.writers = map[string]uint64{}
	}
	return nil
}
