package testbed

import (
	"context"
	"sync"
)

// Latch stands between a daemon and the outside. Frozen, calls and their
// answers wait, as in a paused process; cut, calls fail, as without a network.
type Latch struct {
	mu     sync.Mutex
	frozen bool
	held   bool // control orders alone wait
	cut    map[Side]bool
	thawed chan struct{}
	notify func() // told of each change; may be nil
}

// NewLatch returns an open latch.
func NewLatch() *Latch {
	return &Latch{cut: map[Side]bool{}, thawed: make(chan struct{})}
}

// Freeze holds every call and answer from now on.
func (l *Latch) Freeze() {
	defer l.changed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
}

// HoldOrders holds every control order from now on, as a pause or a slow network
// between the last check and the send would. All else goes on.
func (l *Latch) HoldOrders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
}

// passOrder waits while frozen or while orders are held.
func (l *Latch) passOrder() {
	for {
		l.mu.Lock()
		waits, thawed := l.frozen || l.held, l.thawed
		l.mu.Unlock()
		if !waits {
			return
		}
		<-thawed
	}
}

// Thaw lets all held calls and answers go on.
func (l *Latch) Thaw() {
	defer l.changed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = false
	l.held = false
	close(l.thawed)
	l.thawed = make(chan struct{})
}

// Cut fails the calls to a side from now on.
func (l *Latch) Cut(side Side) { l.setCut(side, true) }

// Mend undoes Cut.
func (l *Latch) Mend(side Side) { l.setCut(side, false) }

func (l *Latch) setCut(side Side, cut bool) {
	defer l.changed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[side] = cut
}

// onChange registers a function that is told of each change.
func (l *Latch) onChange(notify func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify = notify
}

func (l *Latch) changed() {
	l.mu.Lock()
	notify := l.notify
	l.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// holdsPeers reports whether nothing passes between the daemon and others.
func (l *Latch) holdsPeers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frozen || l.cut[SidePeers]
}

func (l *Latch) isCut(side Side) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[side]
}

// pass waits while frozen. A frozen process notices no cancellation, so ctx is
// looked at only afterwards.
func (l *Latch) pass(ctx context.Context) error {
	for {
		l.mu.Lock()
		frozen, thawed := l.frozen, l.thawed
		l.mu.Unlock()
		if !frozen {
			return ctx.Err()
		}
		<-thawed
	}
}
