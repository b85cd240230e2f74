package logstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/platform"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// keptCheckpoints is the number of checkpoints that arriving snapshots are
// compared with.
const keptCheckpoints = 4

// snapshots is what a stream knows of its snapshots. It is guarded by the
// stream.
type snapshots struct {
	checkpoints []checkpoint
	newest      platform.Offset // highest state that a snapshot in the log covers
	newestAt    time.Time
	underway    *proposal
	own         bool // the newest checkpoint is at an own record
}

// takeCheckpoint encodes the state at a round offset. All followers do so at
// the same offsets, so that their snapshots are equal byte by byte.
func (s *Stream[F]) takeCheckpoint() {
	taken, err := s.state.encode()
	if err != nil {
		s.options.Logger.Error("snapshot not encoded", "stream", s.name, "error", err)
		return
	}
	kept := append(s.snapshots.checkpoints, taken)
	s.snapshots.checkpoints = kept[max(0, len(kept)-keptCheckpoints):]
}

// compareSnapshot compares an arriving snapshot with the own state at the same
// offset.
func (s *Stream[F]) compareSnapshot(record platform.Record) {
	arrived, ok := asSnapshot(record)
	if !ok {
		return
	}
	s.noteSnapshot(arrived.AsOf, record)
	own, ok := s.digestAt(arrived.AsOf)
	if !ok {
		return
	}
	body, err := Marshal(arrived)
	if err == nil && xxhash.Sum64(body) == own {
		return
	}
	s.counters.divergences.Inc()
	s.options.Logger.Error("snapshot differs from the own state", "stream", s.name, "as_of", arrived.AsOf)
}

func (s *Stream[F]) noteSnapshot(asOf platform.Offset, record platform.Record) {
	if asOf < s.snapshots.newest {
		return
	}
	s.snapshots.newest = asOf
	s.snapshots.newestAt = s.options.Now()
	var entry Entry
	if Unmarshal(record.Data, &entry) == nil && entry.Time().Before(s.snapshots.newestAt) {
		s.snapshots.newestAt = entry.Time()
	}
}

// digestAt returns the digest of the own snapshot at an offset, when it is
// known.
func (s *Stream[F]) digestAt(asOf platform.Offset) (uint64, bool) {
	for _, kept := range s.snapshots.checkpoints {
		if kept.asOf == asOf {
			return kept.digest, true
		}
	}
	if asOf+1 != s.state.next {
		return 0, false
	}
	taken, err := s.state.encode()
	return taken.digest, err == nil
}

// sendOwnCheckpoint appends the newest checkpoint at once when it is at an own
// record, so that one daemon does it.
func (s *Stream[F]) sendOwnCheckpoint() {
	s.mu.Lock()
	own := s.snapshots.own
	s.snapshots.own = false
	s.mu.Unlock()
	if !own {
		return
	}
	if body, due := s.dueSnapshot(); due {
		s.sendSnapshot(body)
	}
}

// runSnapshots appends the snapshots that are due and that nobody else
// appended. Its waits are random, so that one daemon usually comes first and
// spares the others the work.
func (s *Stream[F]) runSnapshots(ctx context.Context) {
	for {
		wait.For(ctx, s.options.SnapshotCheck/2+rand.N(s.options.SnapshotCheck))
		if ctx.Err() != nil {
			return
		}
		if body, due := s.dueSnapshot(); due {
			s.sendSnapshot(body)
		}
	}
}

// dueSnapshot returns the snapshot to append: the newest checkpoint when the
// log has none so new, or the present state when the newest one is old.
func (s *Stream[F]) dueSnapshot() ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.next == platform.FirstOffset || s.Refused() != nil || s.writer.isPending(s.snapshots.underway) {
		return nil, false
	}
	if n := len(s.snapshots.checkpoints); n > 0 && s.snapshots.checkpoints[n-1].asOf > s.snapshots.newest {
		return s.snapshots.checkpoints[n-1].body, true
	}
	if s.snapshots.newestAt.IsZero() {
		s.snapshots.newestAt = s.options.Now()
	}
	if s.options.Now().Sub(s.snapshots.newestAt) < s.options.SnapshotAge {
		return nil, false
	}
	taken, err := s.state.encode()
	return taken.body, err == nil
}

// ProposeSnapshot appends a snapshot of the state in the background.
func (s *Stream[F]) ProposeSnapshot() {
	s.mu.Lock()
	taken, err := s.state.encode()
	s.mu.Unlock()
	if err != nil {
		s.options.Logger.Error("snapshot not encoded", "stream", s.name, "error", err)
		return
	}
	s.sendSnapshot(taken.body)
}

func (s *Stream[F]) sendSnapshot(body []byte) {
	s.counters.snapshots.Inc()
	underway := s.writer.enqueue(KindSnapshot, body)
	s.mu.Lock()
	s.snapshots.underway = underway
	s.mu.Unlock()
}
