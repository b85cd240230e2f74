package logstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/platform"
)

const (
	readLimit      = 1024
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// Stream follows one stream of the log and proposes records to it.
type Stream[F Fold] struct {
	log     platform.Log
	name    string
	options Options
	writer  *writer

	mu            sync.RWMutex
	state         state[F]
	booted        bool
	sinceSnapshot int

	next      atomic.Uint64 // offset after the last applied record
	confirmed atomic.Int64  // Unix nanoseconds at which the view was last known to be the log's end
}

// New returns a stream that starts from the empty fold.
func New[F Fold](log platform.Log, name string, empty F, options Options) *Stream[F] {
	s := &Stream[F]{
		log:     log,
		name:    name,
		options: options.withDefaults(),
		state:   state[F]{fold: empty, next: platform.FirstOffset, writers: map[string]uint64{}},
	}
	s.writer = newWriter(log, name, s.options)
	return s
}

// Run follows the stream and writes proposals until ctx ends.
func (s *Stream[F]) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.writer.run(ctx) })
	backoff := minReadBackoff
	for ctx.Err() == nil {
		if err := s.step(ctx); err != nil {
			s.reportReadFailure(ctx, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxReadBackoff)
			continue
		}
		backoff = minReadBackoff
	}
	wait.Wait()
}

// step does one read and applies it.
func (s *Stream[F]) step(ctx context.Context) error {
	if !s.Booted() {
		return s.bootstrap(ctx)
	}
	started := s.options.Now()
	from := s.Next()
	page, err := s.log.Read(ctx, s.name, from, readLimit, s.options.PollWait)
	if _, expired := asExpired(err); expired {
		return s.bootstrap(ctx)
	}
	if err != nil {
		return err
	}
	if page.Next < from {
		return &RegressedError{Stream: s.name, Applied: from - 1, Next: page.Next}
	}
	s.applyAll(page.Records)
	s.noteConfirmed(page, started)
	return nil
}

// Confirm reads up to the log's end as of now.
func (s *Stream[F]) Confirm(ctx context.Context) error {
	started := s.options.Now()
	for {
		from := s.Next()
		page, err := s.log.Read(ctx, s.name, from, readLimit, 0)
		if err != nil {
			return err
		}
		if page.Next < from {
			return &RegressedError{Stream: s.name, Applied: from - 1, Next: page.Next}
		}
		s.applyAll(page.Records)
		if s.Next() >= page.Next {
			s.noteConfirmed(page, started)
			return nil
		}
	}
}

func (s *Stream[F]) noteConfirmed(page platform.Page, at time.Time) {
	if s.Next() >= page.Next {
		s.confirmed.Store(at.UnixNano())
	}
}

// bootstrap builds the state from the newest snapshot and the records after
// it. It never steps back below what was applied.
func (s *Stream[F]) bootstrap(ctx context.Context) error {
	started := s.options.Now()
	page, err := readRetained(ctx, s.log, s.name)
	if err != nil {
		return err
	}
	if page.Next < s.Next() {
		return &RegressedError{Stream: s.name, Applied: s.Next() - 1, Next: page.Next}
	}
	if err := s.restore(page); err != nil {
		return err
	}
	s.applyAll(page.Records)
	s.noteConfirmed(page, started)
	return nil
}

func (s *Stream[F]) restore(page platform.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Oldest <= s.state.next {
		s.booted = true
		return nil
	}
	found, ok := newestSnapshot(page)
	if !ok {
		return &NoSnapshotError{Stream: s.name, Oldest: page.Oldest}
	}
	if err := s.state.restore(found); err != nil {
		return err
	}
	s.next.Store(uint64(s.state.next))
	s.booted = true
	return nil
}

func (s *Stream[F]) applyAll(records []platform.Record) {
	if s.applyLocked(records) == 0 {
		return
	}
	s.options.OnApply()
	s.proposeSnapshotIfDue()
}

func (s *Stream[F]) applyLocked(records []platform.Record) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, record := range records {
		if record.Offset != s.state.next {
			continue
		}
		entry, verdict, ok := s.state.apply(record)
		s.next.Store(uint64(s.state.next))
		s.countTowardsSnapshot(entry)
		applied++
		if ok && entry.Writer == s.options.Writer {
			s.writer.settle(entry.Seq, Receipt{Offset: record.Offset, Void: verdict})
		}
	}
	return applied
}

func (s *Stream[F]) countTowardsSnapshot(entry Entry) {
	if entry.Kind == KindSnapshot {
		s.sinceSnapshot = 0
		return
	}
	s.sinceSnapshot++
}

func (s *Stream[F]) proposeSnapshotIfDue() {
	s.mu.Lock()
	due := s.sinceSnapshot >= s.options.SnapshotEvery
	if due {
		s.sinceSnapshot = 0
	}
	s.mu.Unlock()
	if due {
		s.ProposeSnapshot()
	}
}

// ProposeSnapshot appends a snapshot of the state in the background.
func (s *Stream[F]) ProposeSnapshot() {
	s.mu.RLock()
	taken, err := s.state.encode()
	s.mu.RUnlock()
	if err != nil {
		s.options.Logger.Error("snapshot not encoded", "stream", s.name, "error", err)
		return
	}
	body, err := Marshal(taken)
	if err != nil {
		s.options.Logger.Error("snapshot not encoded", "stream", s.name, "error", err)
		return
	}
	s.writer.enqueue(KindSnapshot, body)
}

// Propose appends a record and returns the fold's verdict on it.
func (s *Stream[F]) Propose(ctx context.Context, kind Kind, body any) (Receipt, error) {
	encoded, err := Marshal(body)
	if err != nil {
		return Receipt{}, &ProposalError{Stream: s.name, Err: err}
	}
	return s.writer.propose(ctx, kind, encoded)
}

// Read calls f with the fold, which f must neither change nor keep.
func (s *Stream[F]) Read(f func(fold F)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state.fold)
}

// Booted reports whether the stream has been read up to an end of it once.
func (s *Stream[F]) Booted() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.booted
}

// Next returns the offset after the last applied record.
func (s *Stream[F]) Next() platform.Offset {
	if next := s.next.Load(); next != 0 {
		return platform.Offset(next)
	}
	return platform.FirstOffset
}

// ConfirmedAt returns the latest time at which the state was known to be the
// log's.
func (s *Stream[F]) ConfirmedAt() time.Time {
	return time.Unix(0, s.confirmed.Load())
}

func (s *Stream[F]) reportReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.options.Logger.Warn("log stream not read", "stream", s.name, "error", err)
}

func asExpired(err error) (*platform.ExpiredError, bool) {
	var expired *platform.ExpiredError
	ok := errors.As(err, &expired)
	return expired, ok
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
