package logstream

import "context"

// bootstrap builds the state from the newest snapshot and the records after it.
// It fails with RegressedError when the log ends before the last applied record.
func (s *Stream[F]) bootstrap(ctx context.Context) error {
	started := s.options.Now()
	adoptions := s.adoptions.Load()
	next, last := s.appliedEnd()
	found, err := tailReader{log: s.log, stream: s.name}.read(ctx, next)
	if err != nil {
		return err
	}
	if found.next < next {
		return &RegressedError{Stream: s.name, Applied: next - 1, Next: found.next}
	}
	if err := s.verifyAdopted(ctx, next, last); err != nil {
		return err
	}
	if err := s.restore(found); err != nil {
		return err
	}
	if err := s.applyRecords(found.records); err != nil {
		return err
	}
	s.advanceConfirmed(found.next, started, adoptions)
	s.markBooted(adoptions)
	return nil
}

// restore loads the snapshot when it is more recent than the state. It fails with
// NoSnapshotError when there is none and records after the state have expired.
func (s *Stream[F]) restore(found tail) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found.snapshot != nil && found.snapshot.AsOf+1 > s.state.next {
		if err := s.state.restore(*found.snapshot); err != nil {
			return err
		}
		s.next.Store(uint64(s.state.next))
		s.writer.resolveSkipped(s.state.writers[s.options.Writer].Seq)
		return nil
	}
	if found.oldest > s.state.next {
		return &NoSnapshotError{Stream: s.name, Oldest: found.oldest}
	}
	return nil
}

// markBooted marks the stream as booted, unless a state was adopted since the read
// began: that state has not been verified against the log yet.
func (s *Stream[F]) markBooted(adoptions uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noAdoptionSince(adoptions) {
		s.bootOnce.Do(func() { close(s.booted) })
	}
}

// Booted reports whether the stream has been read to its end at least once.
func (s *Stream[F]) Booted() bool {
	select {
	case <-s.booted:
		return true
	default:
		return false
	}
}

// WaitBooted waits until the stream has been read to its end at least once. It
// returns the cause of ctx when ctx ends first.
func (s *Stream[F]) WaitBooted(ctx context.Context) error {
	select {
	case <-s.booted:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
