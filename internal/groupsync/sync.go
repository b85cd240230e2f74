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

// Times of the sync.
const (
	startGrace   = 500 * time.Millisecond // in which a log that can be reached is usually read
	askPeriod    = 2 * time.Second        // between two rounds of questions
	offerTimeout = time.Second
	fetchTimeout = 3 * time.Second
)

// Sync gives the state of the groups to peers, and takes the newest one of
// theirs until the log was read.
type Sync struct {
	mesh     peer.Mesh
	stream   *logstream.Stream[*group.Fold]
	logger   *slog.Logger
	counters syncCounters
}

// New returns a sync and registers its handler at the mesh.
func New(mesh peer.Mesh, stream *logstream.Stream[*group.Fold], metrics *metric.Set, logger *slog.Logger) *Sync {
	s := &Sync{mesh: mesh, stream: stream, logger: logger, counters: newSyncCounters(metrics)}
	mesh.HandleCall(peer.MethodGroups, s.answer)
	return s
}

// Run asks the peers until the stream was read or ctx ends.
func (s *Sync) Run(ctx context.Context) {
	pause := startGrace
	for wait.For(ctx, pause) && !s.stream.Booted() {
		s.takeNewest(ctx)
		pause = askPeriod/2 + rand.N(askPeriod)
	}
}

// takeNewest adopts the state with the highest offset that a peer gives.
func (s *Sync) takeNewest(ctx context.Context) {
	for _, best := range s.offers(ctx) {
		if s.stream.Known() && best.next <= s.stream.Next() {
			return
		}
		err := s.take(ctx, best.from)
		if err == nil {
			return
		}
		s.counters.failures.Inc()
		s.logger.Warn("group state not taken", "peer", best.from, "error", err)
	}
}

// offers asks all peers how far they are and returns the answers, the highest
// offset first.
func (s *Sync) offers(ctx context.Context) []offer {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var mu sync.Mutex
	var found []offer
	var asked sync.WaitGroup
	for _, other := range s.mesh.Live() {
		if other == s.mesh.Self() {
			continue
		}
		asked.Go(func() {
			var told Answer
			if s.mesh.Call(ctx, other, peer.MethodGroups, Request{}, &told) != nil || !told.Known {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, offer{from: other, next: told.Next})
		})
	}
	asked.Wait()
	slices.SortFunc(found, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.next, a.next), cmp.Compare(a.from, b.from))
	})
	return found
}

func (s *Sync) take(ctx context.Context, from fleet.DaemonID) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var told Answer
	request := Request{Snapshot: true, Above: s.stream.Next()}
	if err := s.mesh.Call(ctx, from, peer.MethodGroups, request, &told); err != nil {
		return err
	}
	if len(told.Snapshot) == 0 {
		return nil // the peer lost its right to give it, or is behind by now
	}
	taken, err := s.stream.Adopt(told.Snapshot)
	if err != nil || !taken {
		return err
	}
	s.counters.adopted.Inc()
	s.logger.Info("group state taken from a peer", "peer", from, "next", told.Next)
	return nil
}

// answer gives the state to a peer. One that the log contradicts stays here.
func (s *Sync) answer(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) {
	var request Request
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if !s.stream.Known() || s.stream.Refused() != nil {
		return Answer{}, nil
	}
	told := Answer{Known: true, Next: s.stream.Next()}
	if !request.Snapshot || told.Next < request.Above {
		return told, nil
	}
	var err error
	if told.Snapshot, err = s.stream.Snapshot(); err != nil {
		return nil, err
	}
	s.counters.served.Inc()
	return told, nil
}
