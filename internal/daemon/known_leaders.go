package daemon

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/view"
)

// leaderRetention is how long the leader of a group is known after the group has left the view:
// longer than a failed exchange counts as evidence.
const leaderRetention = 10 * time.Second

// knownLeaders holds the leaders of groups by address. Groups leave the view of a daemon whose own
// requests fail, and it is just then that it asks whether others reach their leaders. It is used
// by one goroutine.
type knownLeaders map[string]knownLeader

type knownLeader struct {
	vm     fleet.VMID
	seenAt time.Time // last time in the view
}

// observe records the leaders of the groups in a view, and forgets those that left it long ago.
func (k knownLeaders) observe(v *view.View, now time.Time) {
	for _, group := range v.Groups {
		k[group.LeaderAddress] = knownLeader{vm: group.Leader(), seenAt: now}
	}
	for address, leader := range k {
		if now.Sub(leader.seenAt) > leaderRetention {
			delete(k, address)
		}
	}
}
