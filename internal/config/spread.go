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

// Periods and timeouts of the distribution.
const (
	announcePeriod = 2 * time.Second        // between two notices of an unchanged version
	fetchGrace     = 200 * time.Millisecond // minimum delay of a fetch; the log usually delivers the version within it
	fetchTimeout   = 3 * time.Second
)

// Spread distributes the configuration between daemons. It announces the version
// in force to peers, serves it to them, and fetches a higher version from them if
// the log does not deliver it in time.
type Spread struct {
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	store      *Store
	logger     *slog.Logger
	counters   spreadCounters
	onApply    func()

	changed chan struct{} // signals that a version came into force
	noticed chan struct{} // signals that a peer announced a higher version

	mu      sync.Mutex
	highest notice // highest version that a peer has announced
}

// notice is a VersionNotice with its sender.
type notice struct {
	VersionNotice
	from fleet.DaemonID
}

// NewSpread returns a Spread and registers its handlers with the mesh. onApply is
// called after each version that comes into force.
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
	mesh.Subscribe(peer.TopicVersions, s.handleNotice)
	mesh.HandleCall(peer.MethodConfig, s.serveCall)
	mesh.HandleOpen(peer.MethodConfig, s.serveStream)
	return s
}

// Offer puts a configuration in force if its version is higher than the one in
// force, and announces it.
func (s *Spread) Offer(offered Versioned, source Source) {
	if !s.store.Offer(offered, source, time.Now()) {
		return
	}
	s.counters.applied[source].Inc()
	s.logger.Info("configuration in force", "version", offered.Version, "source", source, "took_ms", s.store.Load().Took().Milliseconds())
	signal(s.changed)
	s.onApply()
}

// Run announces the version in force and fetches higher ones until ctx ends.
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

// announce publishes the version in force to the daemons of the data centre. The
// first live daemon of each data centre publishes it to the whole fleet instead.
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

func (s *Spread) handleNotice(from fleet.DaemonID, body cbor.RawMessage) {
	var received VersionNotice
	if cbor.Unmarshal(body, &received) != nil {
		return
	}
	current := s.store.Load()
	if received.Version == current.Version && received.Digest != current.Digest {
		s.counters.conflicts.Inc()
		s.logger.Error("configuration conflict: a peer has different content for the version in force", "version", received.Version, "peer", from)
	}
	if received.Version <= current.Version {
		return
	}
	s.mu.Lock()
	if received.Version >= s.highest.Version {
		s.highest = notice{VersionNotice: received, from: from}
	}
	s.mu.Unlock()
	signal(s.noticed)
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
	wanted := s.highest
	s.mu.Unlock()
	if wanted.Version <= s.store.Load().Version {
		return
	}
	fetched, err := s.fetch(ctx, wanted)
	if err != nil {
		s.counters.failures.Inc()
		s.logger.Warn("failed to fetch configuration from peer", "version", wanted.Version, "peer", wanted.from, "error", err)
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

// serveCall returns the configuration in force, or an empty Versioned if the
// version of the requesting daemon is not lower.
func (s *Spread) serveCall(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) {
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

// serveStream is answer for a stream opened from another data centre.
func (s *Spread) serveStream(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage, send func(any) error) error {
	answer, err := s.serveCall(ctx, from, body)
	if err != nil {
		return err
	}
	return send(answer)
}

// signal sends on a channel of capacity 1 unless a signal is pending already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
