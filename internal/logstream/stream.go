package logstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	maxPageRecords = 1024
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// Stream follows one stream of the log and proposes records to it.
type Stream[F Fold] struct {
	log      infra.Log
	name     string
	options  Options
	counters counters
	writer   *writer

	mu           sync.RWMutex
	state        state[F]
	snapshots    snapshotState
	snapshotWake chan struct{} // wakes runSnapshotWriter

	booted   chan struct{} // closed once the stream has been read to its end
	bootOnce sync.Once

	adoptions    atomic.Uint64         // number of states adopted from other followers
	next         atomic.Uint64         // offset after the last applied record
	confirmed    atomic.Int64          // Unix nanoseconds at which the state was last known to match the log's end
	failingSince atomic.Int64          // Unix nanoseconds of the first of consecutive failed reads; 0 after a success
	refused      atomic.Pointer[error] // why the log is rejected; nil when it is not
	servedCalls  atomic.Uint64         // number of calls that the log has served
}

// New returns a stream whose state starts with the given empty fold.
func New[F Fold](log infra.Log, name string, empty F, options Options) *Stream[F] {
	s := &Stream[F]{
		log:     log,
		name:    name,
		options: options.withDefaults(),
		state:   newState(empty),
		booted:  make(chan struct{}),

		snapshotWake: make(chan struct{}, 1),
	}
	s.counters = newCounters(s.options.Metrics, name)
	s.options.Metrics.Gauge(gaugeRefused(name), s.refusedGauge)
	s.writer = newWriter(log, name, s.options, s.counters)
	s.writer.applied = func() infra.Offset { return s.Next() - 1 }
	s.writer.refused = s.Refused
	s.writer.onAppended = func() { s.servedCalls.Add(1) }
	return s
}

// Run follows the stream and appends proposals until ctx ends.
func (s *Stream[F]) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.runWhenBooted(ctx, s.writer.run) })
	wait.Go(func() { s.runWhenBooted(ctx, s.runSnapshotWriter) })
	s.follow(ctx)
	wait.Wait()
}

// runWhenBooted calls run once the stream is booted. Tasks that append must wait
// for that: each record contains the last offset that its writer has applied, and
// an adopted state is unconfirmed.
func (s *Stream[F]) runWhenBooted(ctx context.Context, run func(context.Context)) {
	select {
	case <-s.booted:
		run(ctx)
	case <-ctx.Done():
	}
}

// Propose appends a record and returns its receipt once it was read back. It fails
// with ProposalError when the result was not read back.
func (s *Stream[F]) Propose(ctx context.Context, kind Kind, body any) (Receipt, error) {
	if refused := s.Refused(); refused != nil {
		return Receipt{}, &ProposalError{Stream: s.name, Err: refused}
	}
	encoded, err := Marshal(body)
	if err != nil {
		return Receipt{}, &ProposalError{Stream: s.name, Err: err}
	}
	return s.writer.propose(ctx, kind, encoded)
}

// Read calls f with the fold under a read lock. f must not change the fold or
// retain references to its mutable state.
func (s *Stream[F]) Read(f func(F)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state.fold)
}

// Next returns the offset after the last applied record.
func (s *Stream[F]) Next() infra.Offset {
	if next := s.next.Load(); next != 0 {
		return infra.Offset(next)
	}
	return infra.FirstOffset
}

// ConfirmedAt returns the latest time at which the state was known to include all
// records of the log.
func (s *Stream[F]) ConfirmedAt() time.Time {
	return time.Unix(0, s.confirmed.Load())
}

func (s *Stream[F]) refusedGauge() float64 {
	if s.Refused() != nil {
		return 1
	}
	return 0
}

func (s *Stream[F]) logReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.options.Logger.Warn("cannot read log stream", "stream", s.name, "error", err)
}

func asExpired(err error) (*infra.ExpiredError, bool) {
	var expired *infra.ExpiredError
	ok := errors.As(err, &expired)
	return expired, ok
}
