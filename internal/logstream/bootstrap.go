package logstream

import "context"

// bootstrap builds the state from the newest snapshot and the records after
// it. It never steps back below what was applied.
func (s *Stream[F]) bootstrap(ctx context.Context) error {
	started := s.options.Now()
	adoptions := s.adoptions.Load()
	next, last := s.end()
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
	if err := s.applyAll(found.records); err != nil {
		return err
	}
	s.noteConfirmed(found.next, started, adoptions)
	s.markBooted(adoptions)
	return nil
}

// restore continues from the snapshot when it is ahead of the state.
func (s *Stream[F]) restore(found tail) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found.snapshot != nil && found.snapshot.AsOf+1 > s.state.next {
		if err := s.state.restore(*found.snapshot); err != nil {
			return err
		}
		s.next.Store(uint64(s.state.next))
		s.writer.skip(s.state.writers[s.options.Writer].Seq)
		return nil
	}
	if found.oldest > s.state.next {
		return &NoSnapshotError{Stream: s.name, Oldest: found.oldest}
	}
	return nil
}

// markBooted ends the start, unless a state was adopted meanwhile: that one has
// not been checked yet.
func (s *Stream[F]) markBooted(adoptions uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unchanged(adoptions) {
		s.bootOnce.Do(func() { close(s.booted) })
	}
}

// Booted reports whether the stream has been read up to an end of it once.
func (s *Stream[F]) Booted() bool {
	select {
	case <-s.booted:
		return true
	default:
		return false
	}
}

// WaitBooted waits until the stream has been read up to an end of it once.
func (s *Stream[F]) WaitBooted(ctx context.Context) error {
	select {
	case <-s.booted:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
