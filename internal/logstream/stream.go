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
	readLimit      = 1024
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
	snapshots    snapshots
	snapshotWork chan struct{} // wakes runSnapshots

	booted   chan struct{} // closed when the stream was read up to an end of it
	bootOnce sync.Once

	adoptions    atomic.Uint64         // states taken from other followers
	next         atomic.Uint64         // offset after the last applied record
	confirmed    atomic.Int64          // Unix nanoseconds at which the view was last known to be the log's end
	failingSince atomic.Int64          // Unix nanoseconds of the first of the failed reads; zero after a success
	refused      atomic.Pointer[error] // why the log is refused
	answers      atomic.Uint64         // calls that the log has served
}

// New returns a stream that starts from the empty fold.
func New[F Fold](log infra.Log, name string, empty F, options Options) *Stream[F] {
	s := &Stream[F]{
		log:     log,
		name:    name,
		options: options.withDefaults(),
		state:   newState(empty),
		booted:  make(chan struct{}),

		snapshotWork: make(chan struct{}, 1),
	}
	s.counters = newCounters(s.options.Metrics, name)
	s.options.Metrics.Gauge(gaugeRefused(name), s.refusedGauge)
	s.writer = newWriter(log, name, s.options, s.counters)
	s.writer.applied = func() infra.Offset { return s.Next() - 1 }
	s.writer.refused = s.Refused
	s.writer.answered = func() { s.answers.Add(1) }
	return s
}

// Run follows the stream and writes proposals until ctx ends.
func (s *Stream[F]) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.onceBooted(ctx, s.writer.run) })
	wait.Go(func() { s.onceBooted(ctx, s.runSnapshots) })
	s.follow(ctx)
	wait.Wait()
}

// onceBooted runs what appends once the stream has been read: a record tells
// what its writer had applied, and an adopted state is not to be relied on.
func (s *Stream[F]) onceBooted(ctx context.Context, run func(context.Context)) {
	select {
	case <-s.booted:
		run(ctx)
	case <-ctx.Done():
	}
}

// Propose appends a record and returns the fold's verdict on it.
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

// Read calls f with the fold. f must not change it or keep what it may change.
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

// ConfirmedAt returns the latest time at which the state was known to be the
// log's.
func (s *Stream[F]) ConfirmedAt() time.Time {
	return time.Unix(0, s.confirmed.Load())
}

func (s *Stream[F]) refusedGauge() float64 {
	if s.Refused() != nil {
		return 1
	}
	return 0
}

func (s *Stream[F]) reportReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.options.Logger.Warn("log stream not read", "stream", s.name, "error", err)
}

func asExpired(err error) (*infra.ExpiredError, bool) {
	var expired *infra.ExpiredError
	ok := errors.As(err, &expired)
	return expired, ok
}
