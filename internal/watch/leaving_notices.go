package watch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// leavingNotices holds the VMs that peers reported as leaving, until each notice
// expires.
type leavingNotices struct {
	ttl time.Duration

	mu        sync.Mutex
	expiresAt map[fleet.VMID]time.Time
}

func newLeavingNotices(ttl time.Duration) *leavingNotices {
	return &leavingNotices{ttl: ttl, expiresAt: map[fleet.VMID]time.Time{}}
}

// add stores VMs reported at now and reports whether one of them is new.
func (n *leavingNotices) add(vms []fleet.VMID, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for _, vm := range vms {
		changed = changed || !n.expiresAt[vm].After(now)
		n.expiresAt[vm] = now.Add(n.ttl)
	}
	return changed
}

// markLeaving returns the list with the reported VMs marked as leaving. It drops
// expired notices.
func (n *leavingNotices) markLeaving(listed map[fleet.VMID]fleet.VM, now time.Time) map[fleet.VMID]fleet.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.expiresAt, func(_ fleet.VMID, expiresAt time.Time) bool { return !expiresAt.After(now) })
	if len(n.expiresAt) == 0 {
		return listed
	}
	marked := maps.Clone(listed)
	for id := range n.expiresAt {
		if vm, ok := marked[id]; ok {
			vm.Leaving = true
			marked[id] = vm
		}
	}
	return marked
}

// leavingVMs returns the VMs that a list marks as leaving, sorted.
func leavingVMs(listed map[fleet.VMID]fleet.VM) []fleet.VMID {
	var leaving []fleet.VMID
	for id, vm := range listed {
		if vm.Leaving {
			leaving = append(leaving, id)
		}
	}
	slices.Sort(leaving)
	return leaving
}
