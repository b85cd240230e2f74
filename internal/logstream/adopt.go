package logstream

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Known reports whether the stream has a state, either read from the log or
// adopted from another follower.
func (s *Stream[F]) Known() bool {
	return s.Booted() || s.adoptions.Load() > 0
}

// Snapshot returns the encoded state, which another follower can pass to Adopt.
// The stream must be Known.
func (s *Stream[F]) Snapshot() ([]byte, error) {
	s.mu.Lock()
	frozen := s.state.freeze()
	s.mu.Unlock()
	encoded, err := frozen.encode()
	return encoded.body, err
}

// Adopt replaces the state by that of another follower, unless the stream has
// already been read from the log or its state is at least as recent. It reports
// whether the state was replaced. An adopted state is unconfirmed: nothing is
// proposed on it, and once the log can be read again, the log must contain the
// last record that the state covers.
func (s *Stream[F]) Adopt(body []byte) (bool, error) {
	var received snapshot
	if err := Unmarshal(body, &received); err != nil {
		return false, err
	}
	adopted, err := s.adopt(received)
	if adopted {
		s.options.OnApply()
	}
	return adopted, err
}

func (s *Stream[F]) adopt(received snapshot) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := received.AsOf + 1
	if s.Booted() || next < s.state.next || next == s.state.next && s.adoptions.Load() > 0 {
		return false, nil
	}
	if err := s.state.restore(received); err != nil {
		return false, err
	}
	s.next.Store(uint64(next))
	s.confirmed.Store(0)
	s.adoptions.Add(1)
	return true, nil
}

// noAdoptionSince reports whether the number of adoptions is still the given one.
// The caller holds s.mu.
func (s *Stream[F]) noAdoptionSince(adoptions uint64) bool {
	return s.adoptions.Load() == adoptions
}

// verifyAdopted checks that the log contains the last record that an adopted
// state covers. It skips the check when that record has expired.
func (s *Stream[F]) verifyAdopted(ctx context.Context, next infra.Offset, last uint64) error {
	if s.Booted() || s.adoptions.Load() == 0 {
		return nil
	}
	err := s.verifyLastRecord(ctx, next, last)
	if _, expired := asExpired(err); expired {
		return nil
	}
	return err
}
