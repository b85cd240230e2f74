package order

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// ownersPerSlot is the number of daemons of a data centre that always follow a
	// slot: its owner and a standby, which can take over without first reading the
	// stream.
	ownersPerSlot = 2
	// idleTimeout is how long a daemon follows an unused slot that it does not own.
	idleTimeout = 30 * time.Second
	// startupGrace is how long after its start a daemon that sees no peers yet
	// opens slots only on demand.
	startupGrace = 3 * time.Second
)

// Opener returns a new stream of a slot. The stream writes under the given writer
// name and calls onApply after it has applied records.
type Opener func(slot Slot, writer string, onApply func()) *logstream.Stream[*Fold]

// Follower manages the streams of the slots that this daemon owns or uses.
type Follower struct {
	ctx  context.Context
	mesh peer.Mesh
	open Opener

	started time.Time
	owners  ownersCache

	mu          sync.Mutex
	slots       map[Slot]*followedSlot
	incarnation int // number of streams opened so far; each has its own writer name
	tasks       sync.WaitGroup
}

// NewFollower returns a Follower whose streams run until ctx ends.
func NewFollower(ctx context.Context, mesh peer.Mesh, open Opener) *Follower {
	return &Follower{ctx: ctx, mesh: mesh, open: open, started: time.Now(), slots: map[Slot]*followedSlot{}}
}

// Owners returns the daemons that always follow a slot, the owner first. Daemons
// without access to the log are left out while other daemons have access.
func (s *Follower) Owners(slot Slot) []fleet.DaemonID {
	return s.owners.of(slot, s.mesh.WithLog())
}

// Followed returns the number of slots that this daemon follows.
func (s *Follower) Followed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots)
}

// Follow opens the slots that this daemon owns, and closes those that it
// neither owns nor uses.
func (s *Follower) Follow(now time.Time) {
	if len(s.mesh.Live()) == 1 && time.Since(s.started) < startupGrace {
		return
	}
	for slot := range Slot(Slots) {
		owned := slices.Contains(s.Owners(slot), s.mesh.Self())
		s.mu.Lock()
		s.follow(slot, owned, now)
		s.mu.Unlock()
	}
}

func (s *Follower) follow(slot Slot, owned bool, now time.Time) {
	f, open := s.slots[slot]
	if owned {
		s.ensureOpen(slot).idleSince = now
		return
	}
	if open && f.uses == 0 && now.Sub(f.idleSince) > idleTimeout {
		delete(s.slots, slot)
		f.stop()
	}
}

// ensureOpen returns a followed slot and opens its stream if needed. The caller
// holds mu.
func (s *Follower) ensureOpen(slot Slot) *followedSlot {
	if f, ok := s.slots[slot]; ok {
		return f
	}
	s.incarnation++
	writer := fmt.Sprintf("%s%s%d", s.mesh.Self(), incarnationSeparator, s.incarnation)
	ctx, stop := context.WithCancel(s.ctx)
	f := &followedSlot{number: slot, stop: stop, changed: newBroadcast()}
	f.stream = s.open(slot, writer, f.changed.notify)
	s.slots[slot] = f
	s.tasks.Go(func() { f.stream.Run(ctx) })
	return f
}

// acquire returns a slot that is followed at least until release is called.
func (s *Follower) acquire(slot Slot) *followedSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.ensureOpen(slot)
	f.uses++
	return f
}

func (s *Follower) release(f *followedSlot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.uses--
	f.idleSince = time.Now()
}

func (s *Follower) all() []*followedSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*followedSlot, 0, len(s.slots))
	for _, f := range s.slots {
		all = append(all, f)
	}
	return all
}

// Refused returns an error for each stream that refuses its log because the log
// contradicts records that were already applied.
func (s *Follower) Refused() []error {
	var refused []error
	for _, f := range s.all() {
		if err := f.stream.Refused(); err != nil {
			refused = append(refused, err)
		}
	}
	return refused
}

// Wait blocks until every stream has ended. The streams end with the context
// given to NewFollower.
func (s *Follower) Wait() { s.tasks.Wait() }
