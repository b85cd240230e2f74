package peer

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// LinkStatus describes one link in the operators' status.
type LinkStatus struct {
	Daemon       fleet.DaemonID   `json:"daemon"`
	DataCentre   fleet.DataCentre `json:"data_centre"`
	Leaving      bool             `json:"leaving"`       // the daemon is stopping
	SilentMillis int64            `json:"silent_millis"` // milliseconds since the last frame was received
	Calls        int              `json:"calls"`         // in progress, in both directions
}

// Links returns the status of the links in use, sorted by daemon.
func (n *Network) Links() []LinkStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	links := make([]LinkStatus, 0, len(n.links))
	for _, id := range sortedKeys(n.links) {
		l := n.links[id]
		links = append(links, LinkStatus{
			Daemon:       id,
			DataCentre:   l.remote.DataCentre,
			Leaving:      l.state.Load().Leaving,
			SilentMillis: now.Sub(time.Unix(0, l.lastReceived.Load())).Milliseconds(),
			Calls:        l.outgoing.size() + l.incoming.size(),
		})
	}
	return links
}
