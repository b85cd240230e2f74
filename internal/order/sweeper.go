package order

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

const (
	followPeriod        = 500 * time.Millisecond
	sweepPeriod         = 5 * time.Second
	sweepTimeout        = 4 * time.Second
	maxProposalsPerSlot = 64 // per slot and sweep
	// maxMarkDelay bounds the pseudo-random delay before a daemon marks a claim as
	// unclear. The delay differs by daemon, so usually only one of them writes.
	maxMarkDelay = 30 * time.Second
)

// Sweeper periodically updates which slots are followed, marks overdue claims as
// unclear and writes ticks so that stream time advances.
type Sweeper struct {
	self    fleet.DaemonID
	slots   *Follower
	metrics *Metrics
	now     func() time.Time
}

// NewSweeper returns a Sweeper.
func NewSweeper(self fleet.DaemonID, slots *Follower, metrics *Metrics, now func() time.Time) *Sweeper {
	return &Sweeper{self: self, slots: slots, metrics: metrics, now: now}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	follow := time.NewTicker(followPeriod)
	defer follow.Stop()
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	s.slots.Follow(s.now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-follow.C:
			s.slots.Follow(s.now())
		case <-sweep.C:
			s.Sweep(ctx)
		}
	}
}

// Sweep checks every followed slot once and proposes the records that are due. It
// returns after at most sweepTimeout.
func (s *Sweeper) Sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, f := range s.slots.all() {
		for _, p := range s.dueProposals(f) {
			wait.Go(func() { s.propose(ctx, f, p) })
		}
	}
	wait.Wait()
}

// proposal is a record that a sweep proposes.
type proposal struct {
	kind logstream.Kind
	body any
}

func (s *Sweeper) propose(ctx context.Context, f *followedSlot, c proposal) {
	receipt, err := f.stream.Propose(ctx, c.kind, c.body)
	if err == nil && receipt.Void == nil && c.kind == KindDoubt {
		s.metrics.markedUnclear.Inc()
	}
}

func (s *Sweeper) dueProposals(f *followedSlot) []proposal {
	var due []proposal
	now := s.now()
	f.stream.Read(func(fold *Fold) {
		if fold.Len() > 0 && !fold.clock.hasRecentRecord(string(s.self), now) {
			due = append(due, proposal{kind: KindTick, body: Tick{}})
		}
		fold.Each(func(record Record) {
			if len(due) < maxProposalsPerSlot && record.overdue(now.Add(-s.markDelay(record.Claim.Key))) {
				due = append(due, proposal{kind: KindDoubt, body: Doubt{Key: record.Claim.Key, Claim: record.Offset, By: s.self}})
			}
		})
	})
	return due
}

// markDelay returns a delay below maxMarkDelay, derived from a hash of the daemon
// and the key.
func (s *Sweeper) markDelay(key Key) time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.self)+string(key)) % uint64(maxMarkDelay))
}
