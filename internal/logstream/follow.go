package logstream

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// follow reads and applies records until ctx ends.
func (s *Stream[F]) follow(ctx context.Context) {
	backoff := minReadBackoff
	for ctx.Err() == nil {
		err := s.poll(ctx)
		s.recordLogConflict(err)
		s.recordReadResult(err)
		if err != nil {
			s.logReadFailure(ctx, err)
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxReadBackoff)
			continue
		}
		backoff = minReadBackoff
	}
}

// poll reads one page and applies it, or bootstraps the stream when it is not
// booted or its next record has expired.
func (s *Stream[F]) poll(ctx context.Context) error {
	if !s.Booted() {
		return s.bootstrap(ctx)
	}
	started := s.options.Now()
	adoptions := s.adoptions.Load()
	from, last := s.appliedEnd()
	page, err := s.log.Read(ctx, s.name, from, maxPageRecords, s.options.PollWait)
	if _, expired := asExpired(err); expired {
		return s.bootstrap(ctx)
	}
	if err != nil {
		return err
	}
	s.servedCalls.Add(1)
	if page.Next < from {
		return &RegressedError{Stream: s.name, Applied: from - 1, Next: page.Next}
	}
	if len(page.Records) > 0 {
		if err := s.verifyLastRecord(ctx, from, last); err != nil {
			return err
		}
	}
	if err := s.applyRecords(page.Records); err != nil {
		return err
	}
	s.advanceConfirmed(page.Next, started, adoptions)
	return nil
}

// appliedEnd returns the offset after the last applied record and the digest of
// that record.
func (s *Stream[F]) appliedEnd() (infra.Offset, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.next, s.state.lastDigest
}

// verifyLastRecord checks that the log still contains the last applied record. It
// returns nil when that record has expired and cannot be checked.
func (s *Stream[F]) verifyLastRecord(ctx context.Context, next infra.Offset, last uint64) error {
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

// Confirm reads and applies all records up to the end that the log has at the
// time of the call.
func (s *Stream[F]) Confirm(ctx context.Context) error {
	err := s.confirm(ctx)
	s.recordLogConflict(err)
	return err
}

func (s *Stream[F]) confirm(ctx context.Context) error {
	started := s.options.Now()
	adoptions := s.adoptions.Load()
	for {
		from, _ := s.appliedEnd()
		page, err := s.readOverlapping(ctx, from)
		if err != nil {
			return err
		}
		if page.Next < from {
			return &RegressedError{Stream: s.name, Applied: from - 1, Next: page.Next}
		}
		if err := s.applyRecords(page.Records); err != nil {
			return err
		}
		if s.Next() >= page.Next {
			s.advanceConfirmed(page.Next, started, adoptions)
			return nil
		}
	}
}

// readOverlapping reads a page that starts with the last applied record, so that
// applying the page also verifies that record.
func (s *Stream[F]) readOverlapping(ctx context.Context, next infra.Offset) (infra.Page, error) {
	if next == infra.FirstOffset {
		return s.log.Read(ctx, s.name, next, maxPageRecords, 0)
	}
	page, err := s.log.Read(ctx, s.name, next-1, maxPageRecords, 0)
	if expired, ok := asExpired(err); ok && expired.Oldest <= next {
		return s.log.Read(ctx, s.name, next, maxPageRecords, 0)
	}
	return page, err
}

// advanceConfirmed sets the confirmation time when at is later than it. A read does
// not confirm a state that was adopted while the read was in progress.
func (s *Stream[F]) advanceConfirmed(next infra.Offset, at time.Time, adoptions uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.state.next < next || !s.noAdoptionSince(adoptions) {
		return
	}
	for {
		old := s.confirmed.Load()
		if at.UnixNano() <= old || s.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// recordReadResult stores the time of the first of consecutive failed reads.
func (s *Stream[F]) recordReadResult(err error) {
	if err == nil {
		s.failingSince.Store(0)
		return
	}
	s.failingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Failing returns how long reads have been failing without interruption, or 0
// when the last read succeeded.
func (s *Stream[F]) Failing(now time.Time) time.Duration {
	since := s.failingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// recordLogConflict stores the error when the log contradicts the applied records.
func (s *Stream[F]) recordLogConflict(err error) {
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

// Refused returns the error for which the log is rejected: it ends before the last
// applied record, or differs from it. It is nil while the log is consistent with
// the applied records.
func (s *Stream[F]) Refused() error {
	if refused := s.refused.Load(); refused != nil {
		return *refused
	}
	return nil
}
