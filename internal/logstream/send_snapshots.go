package logstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// wakeOwnCheckpoint wakes the writer of snapshots at once when the newest
// checkpoint is at an own record, so that one daemon appends it.
func (s *Stream[F]) wakeOwnCheckpoint() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.snapshots.own {
		s.wakeSnapshots()
	}
}

func (s *Stream[F]) wakeSnapshots() {
	select {
	case s.snapshotWork <- struct{}{}:
	default:
	}
}

// runSnapshots compares the snapshots that were read, and appends those that
// are due and that nobody else appended. Its waits are random, so that one
// daemon usually comes first and spares the others the work.
func (s *Stream[F]) runSnapshots(ctx context.Context) {
	check := time.NewTimer(s.snapshotDelay())
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			check.Reset(s.snapshotDelay())
			s.sendDueSnapshot(ctx)
		case <-s.snapshotWork:
			s.compareArrivals()
			if s.takeOwnCheckpoint() {
				s.sendDueSnapshot(ctx)
			}
		}
	}
}

func (s *Stream[F]) snapshotDelay() time.Duration {
	return s.options.SnapshotCheck/2 + rand.N(s.options.SnapshotCheck)
}

// takeOwnCheckpoint reports whether the newest checkpoint is at an own record,
// once.
func (s *Stream[F]) takeOwnCheckpoint() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.snapshots.own
	s.snapshots.own = false
	return own
}

func (s *Stream[F]) sendDueSnapshot(ctx context.Context) {
	if due, ok := s.dueSnapshot(); ok {
		s.sendSnapshot(ctx, due)
	}
}

// dueSnapshot returns the state to append: the newest checkpoint when the log
// has none so new, or the present state when the newest one is old.
func (s *Stream[F]) dueSnapshot() (*frozen, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.next == infra.FirstOffset || s.Refused() != nil || s.writer.isPending(s.snapshots.underway) {
		return nil, false
	}
	if n := len(s.snapshots.checkpoints); n > 0 && s.snapshots.checkpoints[n-1].asOf > s.snapshots.newest && s.outgrown() {
		return s.snapshots.checkpoints[n-1], true
	}
	if s.snapshots.newestAt.IsZero() {
		s.snapshots.newestAt = s.options.Now()
	}
	if s.options.Now().Sub(s.snapshots.newestAt) < s.options.SnapshotAge {
		return nil, false
	}
	return s.state.freeze(), true
}

// outgrown reports whether the records since the newest snapshot outweigh it, so
// that a new one saves its readers more than it costs. Those of a stream that
// carries its snapshots itself come after a number of records.
func (s *Stream[F]) outgrown() bool {
	return !s.options.SnapshotsApart || s.snapshots.since >= s.snapshots.bytes
}

// ProposeSnapshot appends a snapshot of the state in the background.
func (s *Stream[F]) ProposeSnapshot() {
	s.mu.Lock()
	taken := s.state.freeze()
	s.mu.Unlock()
	s.sendSnapshot(context.Background(), taken)
}

func (s *Stream[F]) sendSnapshot(ctx context.Context, taken *frozen) {
	kind, body, err := s.packSnapshot(ctx, taken)
	if err != nil {
		s.options.Logger.Error("snapshot not written", "stream", s.name, "error", err)
		return
	}
	s.counters.snapshots.Inc()
	underway := s.writer.enqueue(kind, body)
	s.mu.Lock()
	s.snapshots.underway = underway
	s.mu.Unlock()
}

// packSnapshot returns the record that carries a snapshot, or names it after it
// was appended to the stream of snapshots.
func (s *Stream[F]) packSnapshot(ctx context.Context, taken *frozen) (Kind, []byte, error) {
	encoded, err := taken.encode()
	if err != nil || !s.options.SnapshotsApart {
		return KindSnapshot, encoded.body, err
	}
	named, err := s.appendApart(ctx, encoded)
	if err != nil {
		return KindReference, nil, err
	}
	body, err := Marshal(named)
	return KindReference, body, err
}
