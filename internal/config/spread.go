package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// Times of the spread.
const (
	announcePeriod = 2 * time.Second        // between two notices of an unchanged version
	fetchGrace     = 200 * time.Millisecond // in which the log usually brings the version itself
	fetchTimeout   = 3 * time.Second
)

// Spread tells peers the version in force, serves it to them, and fetches a
// higher one from them when the log does not bring it.
type Spread struct {
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	store      *Store
	logger     *slog.Logger
	counters   spreadCounters
	onApply    func()

	changed chan struct{} // a version came into force
	noticed chan struct{} // a peer holds a higher version

	mu     sync.Mutex
	higher notice // the highest version that peers told of
}

// notice is a VersionNotice with its sender.
type notice struct {
	VersionNotice
	from fleet.DaemonID
}

// NewSpread returns a spread and registers its handlers at the mesh. onApply is
// called after a version came into force.
func NewSpread(mesh peer.Mesh, dataCentre fleet.DataCentre, store *Store, metrics *metric.Set, logger *slog.Logger, onApply func()) *Spread {
	s := &Spread{
		mesh:       mesh,
		dataCentre: dataCentre,
		store:      store,
		logger:     logger,
		counters:   newSpreadCounters(metrics, store),
		onApply:    onApply,
		changed:    make(chan struct{}, 1),
		noticed:    make(chan struct{}, 1),
	}
	mesh.Subscribe(peer.TopicVersions, s.receive)
	mesh.HandleCall(peer.MethodConfig, s.answer)
	mesh.HandleOpen(peer.MethodConfig, s.answerStream)
	return s
}

// Offer puts a configuration in force unless it is old.
func (s *Spread) Offer(offered Versioned, source Source) {
	if !s.store.Offer(offered, source, time.Now()) {
		return
	}
	s.counters.applied[source].Inc()
	s.logger.Info("configuration in force", "version", offered.Version, "source", source, "took_ms", s.store.Load().Took().Milliseconds())
	wake(s.changed)
	s.onApply()
}

// Run announces and fetches until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.announceLoop(ctx) })
	s.fetchLoop(ctx)
	wait.Wait()
}

func (s *Spread) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.announce(s.mesh.PublishSoon)
		case <-s.changed:
			s.announce(s.mesh.Publish)
		}
	}
}

// announce tells the data centre, and one daemon of it tells the fleet.
func (s *Spread) announce(publish func(peer.Topic, peer.Scope, any)) {
	current := s.store.Load()
	if current.Version == 0 {
		return
	}
	scope := peer.ScopeDataCentre
	if live := s.mesh.Live(); len(live) > 0 && live[0] == s.mesh.Self() {
		scope = peer.ScopeFleet
	}
	publish(peer.TopicVersions, scope, VersionNotice{Version: current.Version, DataCentre: s.dataCentre, Digest: current.Digest})
}

func (s *Spread) receive(from fleet.DaemonID, body cbor.RawMessage) {
	var told VersionNotice
	if cbor.Unmarshal(body, &told) != nil {
		return
	}
	current := s.store.Load()
	if told.Version == current.Version && told.Digest != current.Digest {
		s.counters.conflicts.Inc()
		s.logger.Error("a peer holds another configuration under the same version", "version", told.Version, "peer", from)
	}
	if told.Version <= current.Version {
		return
	}
	s.mu.Lock()
	if told.Version >= s.higher.Version {
		s.higher = notice{VersionNotice: told, from: from}
	}
	s.mu.Unlock()
	wake(s.noticed)
}

func (s *Spread) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.noticed:
		}
		if !wait.For(ctx, fetchGrace+rand.N(fetchGrace)) {
			return
		}
		s.fetchIfHigher(ctx)
	}
}

func (s *Spread) fetchIfHigher(ctx context.Context) {
	s.mu.Lock()
	wanted := s.higher
	s.mu.Unlock()
	if wanted.Version <= s.store.Load().Version {
		return
	}
	fetched, err := s.fetch(ctx, wanted)
	if err != nil {
		s.counters.failures.Inc()
		s.logger.Warn("configuration not fetched", "version", wanted.Version, "peer", wanted.from, "error", err)
		return
	}
	s.Offer(fetched, FromPeer)
}

func (s *Spread) fetch(ctx context.Context, wanted notice) (Versioned, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := FetchRequest{Above: s.store.Load().Version}
	var fetched Versioned
	if wanted.DataCentre == s.dataCentre {
		err := s.mesh.Call(ctx, wanted.from, peer.MethodConfig, request, &fetched)
		return fetched, err
	}
	stream, err := s.mesh.Open(ctx, wanted.DataCentre, peer.MethodConfig, request)
	if err != nil {
		return fetched, err
	}
	defer func() { _ = stream.Close() }()
	err = stream.Next(&fetched)
	return fetched, err
}

// answer serves the configuration in force, or an empty one when the asker
// holds it already.
func (s *Spread) answer(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) {
	var request FetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	current := s.store.Load()
	if current.Version <= request.Above {
		return Versioned{}, nil
	}
	s.counters.served.Inc()
	return current.Versioned, nil
}

func (s *Spread) answerStream(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage, send func(any) error) error {
	answer, err := s.answer(ctx, from, body)
	if err != nil {
		return err
	}
	return send(answer)
}

func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
