package groupsync

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// Timing of the synchronization.
const (
	startGrace   = 500 * time.Millisecond // a reachable log is usually read within this time
	askPeriod    = 2 * time.Second        // mean interval between two rounds of requests
	offerTimeout = time.Second
	fetchTimeout = 3 * time.Second
)

// Sync serves the state of the groups to peers, and adopts the newest state of its
// peers until the log has been read.
type Sync struct {
	mesh     peer.Mesh
	stream   *logstream.Stream[*group.Fold]
	logger   *slog.Logger
	counters syncCounters
}

// New returns a Sync and registers its request handler with the mesh.
func New(mesh peer.Mesh, stream *logstream.Stream[*group.Fold], metrics *metric.Set, logger *slog.Logger) *Sync {
	s := &Sync{mesh: mesh, stream: stream, logger: logger, counters: newSyncCounters(metrics)}
	mesh.HandleCall(peer.MethodGroups, s.answer)
	return s
}

// Run polls the peers until the stream has been read from the log or ctx is done.
func (s *Sync) Run(ctx context.Context) {
	pause := startGrace
	for wait.For(ctx, pause) && !s.stream.Booted() {
		s.adoptNewest(ctx)
		pause = askPeriod/2 + rand.N(askPeriod)
	}
}

// adoptNewest adopts the state with the highest offset that a peer can provide.
func (s *Sync) adoptNewest(ctx context.Context) {
	for _, best := range s.offers(ctx) {
		if s.stream.Known() && best.next <= s.stream.Next() {
			return
		}
		err := s.fetchAndAdopt(ctx, best.from)
		if err == nil {
			return
		}
		s.counters.failures.Inc()
		s.logger.Warn("failed to adopt group state from peer", "peer", best.from, "error", err)
	}
}

// offers requests the state offsets of all live peers and returns the answers
// sorted by descending offset.
func (s *Sync) offers(ctx context.Context) []offer {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var mu sync.Mutex
	var found []offer
	var calls sync.WaitGroup
	for _, other := range s.mesh.Live() {
		if other == s.mesh.Self() {
			continue
		}
		calls.Go(func() {
			var answer Answer
			if s.mesh.Call(ctx, other, peer.MethodGroups, Request{}, &answer) != nil || !answer.HasState {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, offer{from: other, next: answer.Next})
		})
	}
	calls.Wait()
	slices.SortFunc(found, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.next, a.next), cmp.Compare(a.from, b.from))
	})
	return found
}

func (s *Sync) fetchAndAdopt(ctx context.Context, from fleet.DaemonID) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var answer Answer
	request := Request{Snapshot: true, MinOffset: s.stream.Next()}
	if err := s.mesh.Call(ctx, from, peer.MethodGroups, request, &answer); err != nil {
		return err
	}
	if len(answer.Snapshot) == 0 {
		return nil // the log has meanwhile contradicted the peer's state, or the peer is now behind
	}
	adopted, err := s.stream.Adopt(answer.Snapshot)
	if err != nil || !adopted {
		return err
	}
	s.counters.adopted.Inc()
	s.logger.Info("adopted group state from peer", "peer", from, "next", answer.Next)
	return nil
}

// answer handles a request of a peer. It offers no state that the log contradicts.
func (s *Sync) answer(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) {
	var request Request
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if !s.stream.Known() || s.stream.Refused() != nil {
		return Answer{}, nil
	}
	answer := Answer{HasState: true, Next: s.stream.Next()}
	if !request.Snapshot || answer.Next < request.MinOffset {
		return answer, nil
	}
	var err error
	if answer.Snapshot, err = s.stream.Snapshot(); err != nil {
		return nil, err
	}
	s.counters.served.Inc()
	return answer, nil
}
