package logstream

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Known reports whether the stream has a state: read from the log once, or
// adopted from another follower.
func (s *Stream[F]) Known() bool {
	return s.Booted() || s.adoptions.Load() > 0
}

// Snapshot returns the state of a known stream, for Adopt at another follower.
func (s *Stream[F]) Snapshot() ([]byte, error) {
	s.mu.Lock()
	frozen := s.state.freeze()
	s.mu.Unlock()
	encoded, err := frozen.encode()
	return encoded.body, err
}

// Adopt continues from the state of another follower, unless the stream has
// been read already or is as far. It reports whether the state was taken. An
// adopted state is unconfirmed: nothing is proposed on it, and once the log can
// be read, the log must hold its last record.
func (s *Stream[F]) Adopt(body []byte) (bool, error) {
	var offered snapshot
	if err := Unmarshal(body, &offered); err != nil {
		return false, err
	}
	taken, err := s.adopt(offered)
	if taken {
		s.options.OnApply()
	}
	return taken, err
}

func (s *Stream[F]) adopt(offered snapshot) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := offered.AsOf + 1
	if s.Booted() || next < s.state.next || next == s.state.next && s.adoptions.Load() > 0 {
		return false, nil
	}
	if err := s.state.restore(offered); err != nil {
		return false, err
	}
	s.next.Store(uint64(next))
	s.confirmed.Store(0)
	s.adoptions.Add(1)
	return true, nil
}

// unchanged reports whether nothing was adopted since a number of adoptions.
// The caller holds the lock of the state.
func (s *Stream[F]) unchanged(adoptions uint64) bool {
	return s.adoptions.Load() == adoptions
}

// verifyAdopted checks that the log holds the last record of an adopted state,
// unless that has expired.
func (s *Stream[F]) verifyAdopted(ctx context.Context, next infra.Offset, last uint64) error {
	if s.Booted() || s.adoptions.Load() == 0 {
		return nil
	}
	err := s.verify(ctx, next, last)
	if _, expired := asExpired(err); expired {
		return nil
	}
	return err
}
