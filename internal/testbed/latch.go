package testbed

import (
	"context"
	"sync"
)

// Latch injects faults into the calls of a daemon to the outside. While it is
// frozen, calls and their answers block, as in a paused process. Calls to a side
// that is cut fail, as without a network.
type Latch struct {
	mu         sync.Mutex
	frozen     bool
	ordersHeld bool // control orders to engines block; other calls do not
	cut        map[Side]bool
	thawed     chan struct{} // closed and replaced by Thaw
	notify     func()        // called after each change of frozen or cut; may be nil
}

// NewLatch returns a latch without faults.
func NewLatch() *Latch {
	return &Latch{cut: map[Side]bool{}, thawed: make(chan struct{})}
}

// Freeze blocks all calls and answers until Thaw.
func (l *Latch) Freeze() {
	defer l.changed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
}

// HoldOrders blocks control orders to engines until Thaw, as a pause of the process
// or a slow network between the last check and the send would. Other calls are not
// affected.
func (l *Latch) HoldOrders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordersHeld = true
}

// awaitOrder blocks while the latch is frozen or orders are held.
func (l *Latch) awaitOrder() {
	for {
		l.mu.Lock()
		blocked, thawed := l.frozen || l.ordersHeld, l.thawed
		l.mu.Unlock()
		if !blocked {
			return
		}
		<-thawed
	}
}

// Thaw ends Freeze and HoldOrders; blocked calls and answers continue.
func (l *Latch) Thaw() {
	defer l.changed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = false
	l.ordersHeld = false
	close(l.thawed)
	l.thawed = make(chan struct{})
}

// Cut makes calls to a side fail until Mend.
func (l *Latch) Cut(side Side) { l.setCut(side, true) }

// Mend ends Cut.
func (l *Latch) Mend(side Side) { l.setCut(side, false) }

func (l *Latch) setCut(side Side, cut bool) {
	defer l.changed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[side] = cut
}

// onChange registers a function that is called after each change of frozen or cut.
func (l *Latch) onChange(notify func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify = notify
}

// changed calls the function of onChange. The caller does not hold mu.
func (l *Latch) changed() {
	l.mu.Lock()
	notify := l.notify
	l.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// blocksPeers reports whether traffic between the daemon and its peers is blocked.
func (l *Latch) blocksPeers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frozen || l.cut[SidePeers]
}

func (l *Latch) isCut(side Side) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[side]
}

// awaitThaw blocks while the latch is frozen, then returns the error of ctx. A
// paused process does not see a cancellation, so ctx is checked only after the
// freeze.
func (l *Latch) awaitThaw(ctx context.Context) error {
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
