package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Run maintains the links until Close is called.
func (n *Network) Run() {
	n.begin(n.checkLoop)
	otherDataCentres := map[fleet.DataCentre][]string{}
	for _, address := range n.options.Addresses {
		if address.DataCentre == n.options.DataCentre {
			n.begin(func() { n.dialLoop(n.ctx, address) })
			continue
		}
		otherDataCentres[address.DataCentre] = append(otherDataCentres[address.DataCentre], address.HostPort)
	}
	for to, addresses := range otherDataCentres {
		if n.options.DataCentre < to {
			n.begin(func() { n.relayLoop(n.ctx, to, addresses) })
		}
	}
	n.tasks.Wait()
}

// begin starts a task of Run, unless the mesh is closed: Close waits only for tasks that began before.
func (n *Network) begin(task func()) {
	n.starting.Lock()
	defer n.starting.Unlock()
	if n.ctx.Err() == nil {
		n.tasks.Go(task)
	}
}

// checkLoop periodically checks all links. One timer serves all of them.
func (n *Network) checkLoop() {
	ticker := time.NewTicker(n.options.checkPeriod())
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.checkLinks(now)
		}
	}
}

func (n *Network) checkLinks(now time.Time) {
	n.standstills.Look(now)
	for _, l := range n.runningLinks() {
		l.check(now)
	}
}

// runningLinks returns the links in use and the retiring ones.
func (n *Network) runningLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.running))
}

// Leave announces to the peers that this daemon is stopping. They remove it
// from Live at once; calls in progress continue.
func (n *Network) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	n.updateRouting()
}

// SetLogUnreachable announces to the peers whether this daemon cannot read the
// platform's log.
func (n *Network) SetLogUnreachable(unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.logUnreachable == unreachable {
		return
	}
	n.logUnreachable = unreachable
	n.updateRouting()
}

// SetCutOff announces to the peers whether this daemon is cut off from the endpoints.
func (n *Network) SetCutOff(cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutOff == cutOff {
		return
	}
	n.cutOff = cutOff
	n.updateRouting()
}

// Drain waits until no call has been in progress for one heartbeat interval, so
// that calls sent before the peers learned that this daemon is leaving are
// answered too.
func (n *Network) Drain(ctx context.Context) {
	awaitQuiet(ctx, n.options.Heartbeat, n.idle)
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
	n.starting.Lock()
	n.cancel()
	n.starting.Unlock()
	n.tasks.Wait()
	n.pool.StopAndWait()
}
