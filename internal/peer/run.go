package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// Run keeps the links until Close.
func (n *Network) Run() {
	n.tasks.Go(n.lookLoop)
	regional := map[fleet.DataCentre][]string{}
	for _, address := range n.options.Addresses {
		if address.DataCentre == n.options.DataCentre {
			n.tasks.Go(func() { n.dialLoop(n.ctx, address) })
			continue
		}
		regional[address.DataCentre] = append(regional[address.DataCentre], address.HostPort)
	}
	for to, addresses := range regional {
		if n.options.DataCentre < to {
			n.tasks.Go(func() { n.regionalLoop(n.ctx, to, addresses) })
		}
	}
	n.tasks.Wait()
}

// lookLoop looks at all links again and again. One timer serves all of them.
func (n *Network) lookLoop() {
	ticker := time.NewTicker(n.options.lookPeriod())
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.lookAtLinks(now)
		}
	}
}

func (n *Network) lookAtLinks(now time.Time) {
	for _, l := range n.runningLinks() {
		l.look(now)
	}
}

// runningLinks returns the links in use and those that retire.
func (n *Network) runningLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.running))
}

// Leave tells the peers that this daemon stops: they take it out of Live at
// once. Calls in progress go on.
func (n *Network) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	n.refresh()
}

// SetLogAway tells the peers whether this daemon cannot read the platform's log.
func (n *Network) SetLogAway(away bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.logAway == away {
		return
	}
	n.logAway = away
	n.refresh()
}

// Drain waits until no call has been in progress for a heartbeat, so that calls
// sent before the peers knew of the leave are answered too.
func (n *Network) Drain(ctx context.Context) {
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < n.options.Heartbeat {
		if !n.idle() {
			quiet = time.Now()
		}
		wait.For(ctx, n.options.Heartbeat/8)
	}
}

func (n *Network) idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.running {
		if !l.idle() {
			return false
		}
	}
	return true
}

// Close ends every link at once.
func (n *Network) Close() {
	n.cancel()
	n.tasks.Wait()
	n.pool.StopAndWait()
}
