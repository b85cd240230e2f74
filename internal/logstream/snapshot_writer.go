package logstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// wakeForOwnCheckpoint wakes the snapshot writer when the newest checkpoint is at a
// record of this writer, so that exactly one daemon writes it without delay.
func (s *Stream[F]) wakeForOwnCheckpoint() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.snapshots.ownCheckpoint {
		s.wakeSnapshotWriter()
	}
}

func (s *Stream[F]) wakeSnapshotWriter() {
	select {
	case s.snapshotWake <- struct{}{}:
	default:
	}
}

// runSnapshotWriter compares received snapshots with the local state, and writes
// snapshots that are due and that no other daemon has written. The check interval
// is random, so that usually one daemon writes the snapshot before the others
// check.
func (s *Stream[F]) runSnapshotWriter(ctx context.Context) {
	check := time.NewTimer(s.snapshotCheckDelay())
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			check.Reset(s.snapshotCheckDelay())
			s.writeDueSnapshot(ctx)
		case <-s.snapshotWake:
			s.compareReceived()
			if s.consumeOwnCheckpoint() {
				s.writeDueSnapshot(ctx)
			}
		}
	}
}

func (s *Stream[F]) snapshotCheckDelay() time.Duration {
	return s.options.SnapshotCheck/2 + rand.N(s.options.SnapshotCheck)
}

// consumeOwnCheckpoint reports whether the newest checkpoint is at a record of this
// writer, and clears that mark.
func (s *Stream[F]) consumeOwnCheckpoint() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.snapshots.ownCheckpoint
	s.snapshots.ownCheckpoint = false
	return own
}

func (s *Stream[F]) writeDueSnapshot(ctx context.Context) {
	if due, ok := s.dueSnapshot(); ok {
		s.writeSnapshot(ctx, due)
	}
}

// dueSnapshot returns the state to write: the newest checkpoint when it is more
// recent than every snapshot in the log, or the current state when the newest
// snapshot is older than SnapshotAge.
func (s *Stream[F]) dueSnapshot() (*frozenState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.next == infra.FirstOffset || s.Refused() != nil || s.writer.isPending(s.snapshots.inFlight) {
		return nil, false
	}
	if n := len(s.snapshots.checkpoints); n > 0 && s.snapshots.checkpoints[n-1].asOf > s.snapshots.newestAsOf && s.recordsExceedSnapshot() {
		return s.snapshots.checkpoints[n-1], true
	}
	if s.snapshots.newestTime.IsZero() {
		s.snapshots.newestTime = s.options.Now()
	}
	if s.options.Now().Sub(s.snapshots.newestTime) < s.options.SnapshotAge {
		return nil, false
	}
	return s.state.freeze(), true
}

// recordsExceedSnapshot reports whether the records since the newest snapshot are
// at least as large as it, so that a new one saves readers more than it costs. A
// stream that carries its own snapshots writes each checkpoint regardless of
// size.
func (s *Stream[F]) recordsExceedSnapshot() bool {
	return !s.options.SnapshotsApart || s.snapshots.bytesSinceNewest >= s.snapshots.newestBytes
}

// ProposeSnapshot queues a snapshot of the current state for appending, without
// waiting for the append of its record.
func (s *Stream[F]) ProposeSnapshot() {
	s.mu.Lock()
	frozen := s.state.freeze()
	s.mu.Unlock()
	s.writeSnapshot(context.Background(), frozen)
}

func (s *Stream[F]) writeSnapshot(ctx context.Context, frozen *frozenState) {
	kind, body, err := s.encodeSnapshotRecord(ctx, frozen)
	if err != nil {
		s.options.Logger.Error("cannot write snapshot", "stream", s.name, "error", err)
		return
	}
	s.counters.snapshots.Inc()
	pending := s.writer.enqueue(kind, body)
	s.mu.Lock()
	s.snapshots.inFlight = pending
	s.mu.Unlock()
}

// encodeSnapshotRecord returns the kind and body of the record for a snapshot: the
// snapshot itself or, with SnapshotsApart, a reference to it after appending it to
// the snapshot stream.
func (s *Stream[F]) encodeSnapshotRecord(ctx context.Context, frozen *frozenState) (Kind, []byte, error) {
	encoded, err := frozen.encode()
	if err != nil || !s.options.SnapshotsApart {
		return KindSnapshot, encoded.body, err
	}
	ref, err := s.appendToSnapshotStream(ctx, encoded)
	if err != nil {
		return KindReference, nil, err
	}
	body, err := Marshal(ref)
	return KindReference, body, err
}
