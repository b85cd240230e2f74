package peer

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// LinkStatus is what operators see of one link.
type LinkStatus struct {
	Daemon       fleet.DaemonID   `json:"daemon"`
	DataCentre   fleet.DataCentre `json:"data_centre"`
	Leaving      bool             `json:"leaving"`       // the daemon is stopping
	SilentMillis int64            `json:"silent_millis"` // since the last frame came
	Calls        int              `json:"calls"`         // in progress, of both sides
}

// Links returns the links in use, sorted by daemon.
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
			Calls:        l.calls.size() + l.serving.size(),
		})
	}
	return links
}
