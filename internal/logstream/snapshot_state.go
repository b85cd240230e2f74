package logstream

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// maxCheckpoints is the number of recent checkpoints that are retained for
// comparison with received snapshots.
const maxCheckpoints = 4

// snapshotState holds the local checkpoints of a stream and what is known of the
// snapshots in the log. It is guarded by the stream's lock.
type snapshotState struct {
	checkpoints      []*frozenState
	received         []receivedSnapshot
	newestAsOf       infra.Offset // highest offset that a snapshot in the log covers
	newestTime       time.Time
	newestBytes      int // size of the newest snapshot
	bytesSinceNewest int // bytes of the records after the newest snapshot
	inFlight         *proposal
	ownCheckpoint    bool // the newest checkpoint is at a record of this writer
}

// takeCheckpoint freezes the current state. All followers take checkpoints at the
// same offsets, multiples of SnapshotEvery, so their snapshots are byte-identical.
func (s *Stream[F]) takeCheckpoint() {
	kept := append(s.snapshots.checkpoints, s.state.freeze())
	s.snapshots.checkpoints = kept[max(0, len(kept)-maxCheckpoints):]
}

// handleSnapshotRecord records that a snapshot was read from the log, and queues
// its comparison with the local state at the same offset.
func (s *Stream[F]) handleSnapshotRecord(at infra.Offset, entry Entry) {
	info, ok := snapshotInfoOf(entry, at)
	if !ok {
		return
	}
	s.updateNewest(info, entry.Time())
	local, ok := s.frozenAt(info.asOf)
	if !ok {
		return
	}
	received := append(s.snapshots.received, receivedSnapshot{local: local, digest: info.digest})
	s.snapshots.received = received[max(0, len(received)-maxCheckpoints):]
	s.wakeSnapshotWriter()
}

func (s *Stream[F]) updateNewest(info snapshotInfo, writtenAt time.Time) {
	if info.asOf < s.snapshots.newestAsOf {
		return
	}
	s.snapshots.newestAsOf = info.asOf
	s.snapshots.newestBytes = info.bytes
	s.snapshots.bytesSinceNewest = 0
	s.snapshots.newestTime = s.options.Now()
	if writtenAt.Before(s.snapshots.newestTime) {
		s.snapshots.newestTime = writtenAt
	}
}

// frozenAt returns the local state as of an offset: a retained checkpoint, or the
// current state when the offset is the last applied one.
func (s *Stream[F]) frozenAt(asOf infra.Offset) (*frozenState, bool) {
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

// compareReceived compares the received snapshots with the local states and counts
// those that differ.
func (s *Stream[F]) compareReceived() {
	s.mu.Lock()
	received := s.snapshots.received
	s.snapshots.received = nil
	s.mu.Unlock()
	for _, candidate := range received {
		digest, err := candidate.local.encodedDigest()
		if err == nil && digest == candidate.digest {
			continue
		}
		s.counters.divergences.Inc()
		s.options.Logger.Error("snapshot in log differs from local state", "stream", s.name, "as_of", candidate.local.asOf, "error", err)
	}
}
