package logstream

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// keptCheckpoints is the number of checkpoints that arriving snapshots are
// compared with.
const keptCheckpoints = 4

// snapshots is what a stream knows of its snapshots. It is guarded by the
// stream.
type snapshots struct {
	checkpoints []*frozen
	arrivals    []arrival
	newest      infra.Offset // highest state that a snapshot in the log covers
	newestAt    time.Time
	bytes       int // of the newest
	since       int // bytes of the records after the newest
	underway    *proposal
	own         bool // the newest checkpoint is at an own record
}

// takeCheckpoint freezes the state at a round offset. All followers do so at
// the same offsets, so that their snapshots are equal byte by byte.
func (s *Stream[F]) takeCheckpoint() {
	kept := append(s.snapshots.checkpoints, s.state.freeze())
	s.snapshots.checkpoints = kept[max(0, len(kept)-keptCheckpoints):]
}

// noteArrival remembers a snapshot that was read, and that it is to be compared
// with the own state at the same offset.
func (s *Stream[F]) noteArrival(at infra.Offset, entry Entry) {
	arrived, ok := coverageOf(entry, at)
	if !ok {
		return
	}
	s.noteSnapshot(arrived, entry.Time())
	own, ok := s.frozenAt(arrived.asOf)
	if !ok {
		return
	}
	waiting := append(s.snapshots.arrivals, arrival{own: own, digest: arrived.digest})
	s.snapshots.arrivals = waiting[max(0, len(waiting)-keptCheckpoints):]
	s.wakeSnapshots()
}

func (s *Stream[F]) noteSnapshot(arrived coverage, writtenAt time.Time) {
	if arrived.asOf < s.snapshots.newest {
		return
	}
	s.snapshots.newest = arrived.asOf
	s.snapshots.bytes = arrived.bytes
	s.snapshots.since = 0
	s.snapshots.newestAt = s.options.Now()
	if writtenAt.Before(s.snapshots.newestAt) {
		s.snapshots.newestAt = writtenAt
	}
}

// frozenAt returns the own state at an offset, when it is known.
func (s *Stream[F]) frozenAt(asOf infra.Offset) (*frozen, bool) {
	for _, kept := range s.snapshots.checkpoints {
		if kept.asOf == asOf {
			return kept, true
		}
	}
	if asOf+1 != s.state.next {
		return nil, false
	}
	return s.state.freeze(), true
}

// compareArrivals compares the snapshots that were read with the own states.
func (s *Stream[F]) compareArrivals() {
	s.mu.Lock()
	waiting := s.snapshots.arrivals
	s.snapshots.arrivals = nil
	s.mu.Unlock()
	for _, arrived := range waiting {
		digest, err := arrived.own.knownDigest()
		if err == nil && digest == arrived.digest {
			continue
		}
		s.counters.divergences.Inc()
		s.options.Logger.Error("snapshot differs from the own state", "stream", s.name, "as_of", arrived.own.asOf, "error", err)
	}
}
