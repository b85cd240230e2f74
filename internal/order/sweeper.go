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
	followPeriod = 500 * time.Millisecond
	sweepPeriod  = 5 * time.Second
	sweepTimeout = 4 * time.Second
	sweepBatch   = 64 // doubts of one slot and sweep
	// doubtSpread spreads the doubts of several daemons, so that mostly one
	// writes.
	doubtSpread = 30 * time.Second
)

// Sweeper keeps the slots followed, marks overdue claims as unclear and keeps
// the clocks of the streams going.
type Sweeper struct {
	self    fleet.DaemonID
	slots   *Follower
	metrics *Metrics
	now     func() time.Time
}

// NewSweeper returns a sweeper.
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

// Sweep looks once at every followed slot.
func (s *Sweeper) Sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, f := range s.slots.all() {
		for _, p := range s.due(f) {
			wait.Go(func() { s.propose(ctx, f, p) })
		}
	}
	wait.Wait()
}

// chore is one record that a sweep proposes.
type chore struct {
	kind logstream.Kind
	body any
}

func (s *Sweeper) propose(ctx context.Context, f *followed, c chore) {
	receipt, err := f.stream.Propose(ctx, c.kind, c.body)
	if err == nil && receipt.Void == nil && c.kind == KindDoubt {
		s.metrics.doubts.Inc()
	}
}

func (s *Sweeper) due(f *followed) []chore {
	var due []chore
	now := s.now()
	f.stream.Read(func(fold *Fold) {
		if fold.Len() > 0 && !fold.clock.knows(string(s.self), now) {
			due = append(due, chore{kind: KindTick, body: Tick{}})
		}
		fold.Each(func(record Record) {
			if len(due) < sweepBatch && record.overdue(now.Add(-s.spread(record.Claim.Key))) {
				due = append(due, chore{kind: KindDoubt, body: Doubt{Key: record.Claim.Key, Claim: record.Offset, By: s.self}})
			}
		})
	})
	return due
}

// spread returns a delay that differs by daemon and key.
func (s *Sweeper) spread(key Key) time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.self)+string(key)) % uint64(doubtSpread))
}
