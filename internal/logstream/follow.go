package logstream

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// follow reads and applies until ctx ends.
func (s *Stream[F]) follow(ctx context.Context) {
	backoff := minReadBackoff
	for ctx.Err() == nil {
		err := s.step(ctx)
		s.noteHealth(err)
		s.noteReach(err)
		if err != nil {
			s.reportReadFailure(ctx, err)
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxReadBackoff)
			continue
		}
		backoff = minReadBackoff
	}
}

// step does one read and applies it.
func (s *Stream[F]) step(ctx context.Context) error {
	if !s.Booted() {
		return s.bootstrap(ctx)
	}
	started := s.options.Now()
	adoptions := s.adoptions.Load()
	from, last := s.end()
	page, err := s.log.Read(ctx, s.name, from, readLimit, s.options.PollWait)
	if _, expired := asExpired(err); expired {
		return s.bootstrap(ctx)
	}
	if err != nil {
		return err
	}
	s.answers.Add(1)
	if page.Next < from {
		return &RegressedError{Stream: s.name, Applied: from - 1, Next: page.Next}
	}
	if len(page.Records) > 0 {
		if err := s.verify(ctx, from, last); err != nil {
			return err
		}
	}
	if err := s.applyAll(page.Records); err != nil {
		return err
	}
	s.noteConfirmed(page.Next, started, adoptions)
	return nil
}

// end returns the next offset and the digest of the last applied record.
func (s *Stream[F]) end() (infra.Offset, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.next, s.state.last
}

// verify checks that the log still holds the last applied record. A record that
// expired meanwhile cannot be checked and passes.
func (s *Stream[F]) verify(ctx context.Context, next infra.Offset, last uint64) error {
	if next == infra.FirstOffset {
		return nil
	}
	page, err := s.log.Read(ctx, s.name, next-1, 1, 0)
	if expired, ok := asExpired(err); ok && expired.Oldest <= next {
		return nil
	}
	if err != nil {
		return err
	}
	if len(page.Records) == 0 {
		return &RegressedError{Stream: s.name, Applied: next - 1, Next: page.Next}
	}
	if xxhash.Sum64(page.Records[0].Data) != last {
		return &RewrittenError{Stream: s.name, Offset: next - 1}
	}
	return nil
}

// Confirm reads up to the log's end as of now.
func (s *Stream[F]) Confirm(ctx context.Context) error {
	err := s.confirm(ctx)
	s.noteHealth(err)
	return err
}

func (s *Stream[F]) confirm(ctx context.Context) error {
	started := s.options.Now()
	adoptions := s.adoptions.Load()
	for {
		from, _ := s.end()
		page, err := s.readLinked(ctx, from)
		if err != nil {
			return err
		}
		if page.Next < from {
			return &RegressedError{Stream: s.name, Applied: from - 1, Next: page.Next}
		}
		if err := s.applyAll(page.Records); err != nil {
			return err
		}
		if s.Next() >= page.Next {
			s.noteConfirmed(page.Next, started, adoptions)
			return nil
		}
	}
}

// readLinked reads from the last applied record on, so that applying the page
// checks that record too.
func (s *Stream[F]) readLinked(ctx context.Context, next infra.Offset) (infra.Page, error) {
	if next == infra.FirstOffset {
		return s.log.Read(ctx, s.name, next, readLimit, 0)
	}
	page, err := s.log.Read(ctx, s.name, next-1, readLimit, 0)
	if expired, ok := asExpired(err); ok && expired.Oldest <= next {
		return s.log.Read(ctx, s.name, next, readLimit, 0)
	}
	return page, err
}

// noteConfirmed moves the time of confirmation forward, never back. A reading
// confirms nothing of a state that was adopted during it.
func (s *Stream[F]) noteConfirmed(next infra.Offset, at time.Time, adoptions uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.state.next < next || !s.unchanged(adoptions) {
		return
	}
	for {
		old := s.confirmed.Load()
		if at.UnixNano() <= old || s.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// noteReach remembers since when reads fail.
func (s *Stream[F]) noteReach(err error) {
	if err == nil {
		s.failingSince.Store(0)
		return
	}
	s.failingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Failing returns for how long every read has failed.
func (s *Stream[F]) Failing(now time.Time) time.Duration {
	since := s.failingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// noteHealth remembers whether the log contradicts what was applied.
func (s *Stream[F]) noteHealth(err error) {
	if err == nil {
		s.refused.Store(nil)
		return
	}
	var regressed *RegressedError
	var rewritten *RewrittenError
	if errors.As(err, &regressed) || errors.As(err, &rewritten) {
		s.counters.refused.Inc()
		s.refused.Store(&err)
	}
}

// Refused returns why the log is refused: it ends below what was applied, or
// differs from it. It is nil while the log agrees.
func (s *Stream[F]) Refused() error {
	if refused := s.refused.Load(); refused != nil {
		return *refused
	}
	return nil
}
