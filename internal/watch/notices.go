package watch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// notices holds the VMs that peers have named as leaving, each for some time.
type notices struct {
	life time.Duration

	mu    sync.Mutex
	until map[fleet.VMID]time.Time
}

func newNotices(life time.Duration) *notices {
	return &notices{life: life, until: map[fleet.VMID]time.Time{}}
}

// hear notes VMs named at now and reports whether one of them is new.
func (n *notices) hear(vms []fleet.VMID, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := false
	for _, vm := range vms {
		news = news || !n.until[vm].After(now)
		n.until[vm] = now.Add(n.life)
	}
	return news
}

// mark returns the list with the VMs that are named at now as leaving.
func (n *notices) mark(listed map[fleet.VMID]fleet.VM, now time.Time) map[fleet.VMID]fleet.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.until, func(_ fleet.VMID, until time.Time) bool { return !until.After(now) })
	if len(n.until) == 0 {
		return listed
	}
	marked := maps.Clone(listed)
	for id := range n.until {
		if vm, ok := marked[id]; ok {
			vm.Leaving = true
			marked[id] = vm
		}
	}
	return marked
}

// leavingOf returns the VMs of a list that are leaving, sorted.
func leavingOf(listed map[fleet.VMID]fleet.VM) []fleet.VMID {
	var leaving []fleet.VMID
	for id, vm := range listed {
		if vm.Leaving {
			leaving = append(leaving, id)
		}
	}
	slices.Sort(leaving)
	return leaving
}
