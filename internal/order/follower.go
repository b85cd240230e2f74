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
	// ownersPerSlot is the number of daemons of a data centre that follow a slot:
	// its owner and a standby that takes over without reading the stream anew.
	ownersPerSlot = 2
	// idleLinger is how long an unused slot of another owner stays followed.
	idleLinger = 30 * time.Second
	// startGrace is how long a daemon that sees no peers yet opens slots on demand
	// only.
	startGrace = 3 * time.Second
)

// Opener returns a new stream of a slot.
type Opener func(slot Slot, writer string, onApply func()) *logstream.Stream[*Fold]

// Follower follows the streams of the slots that this daemon owns or uses.
type Follower struct {
	ctx  context.Context
	mesh peer.Mesh
	open Opener

	started time.Time
	owners  ownersCache

	mu          sync.Mutex
	followed    map[Slot]*followed
	incarnation int // number of streams opened; each is a writer of its own
	tasks       sync.WaitGroup
}

// NewFollower returns a follower whose streams run until ctx ends.
func NewFollower(ctx context.Context, mesh peer.Mesh, open Opener) *Follower {
	return &Follower{ctx: ctx, mesh: mesh, open: open, started: time.Now(), followed: map[Slot]*followed{}}
}

// Owners returns the daemons that follow a slot, its owner first. One that
// cannot read the log is none while others can.
func (s *Follower) Owners(slot Slot) []fleet.DaemonID {
	return s.owners.of(slot, s.mesh.WithLog())
}

// Followed returns the number of slots that are followed.
func (s *Follower) Followed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.followed)
}

// Follow opens the slots that this daemon owns, and closes those that it
// neither owns nor uses.
func (s *Follower) Follow(now time.Time) {
	if len(s.mesh.Live()) == 1 && time.Since(s.started) < startGrace {
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
	f, open := s.followed[slot]
	if owned {
		s.opened(slot).idleSince = now
		return
	}
	if open && f.uses == 0 && now.Sub(f.idleSince) > idleLinger {
		delete(s.followed, slot)
		f.stop()
	}
}

// opened returns a followed slot, opening it when needed.
func (s *Follower) opened(slot Slot) *followed {
	if f, ok := s.followed[slot]; ok {
		return f
	}
	s.incarnation++
	writer := fmt.Sprintf("%s%s%d", s.mesh.Self(), incarnationSeparator, s.incarnation)
	ctx, stop := context.WithCancel(s.ctx)
	f := &followed{slot: slot, stop: stop, changed: newBroadcast()}
	f.stream = s.open(slot, writer, f.changed.notify)
	s.followed[slot] = f
	s.tasks.Go(func() { f.stream.Run(ctx) })
	return f
}

// acquire returns a slot that stays followed until it is released.
func (s *Follower) acquire(slot Slot) *followed {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.opened(slot)
	f.uses++
	return f
}

func (s *Follower) release(f *followed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.uses--
	f.idleSince = time.Now()
}

func (s *Follower) all() []*followed {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*followed, 0, len(s.followed))
	for _, f := range s.followed {
		all = append(all, f)
	}
	return all
}

// Refused returns why streams are refused whose log contradicts what was
// applied.
func (s *Follower) Refused() []error {
	var refused []error
	for _, f := range s.all() {
		if err := f.stream.Refused(); err != nil {
			refused = append(refused, err)
		}
	}
	return refused
}

// Wait returns when every stream has ended after the context of the slots.
func (s *Follower) Wait() { s.tasks.Wait() }
