package daemon

import (
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// notices keeps when each leaving VM was first seen to be leaving.
type notices struct {
	since atomic.Pointer[map[fleet.VMID]time.Time]
}

func newNotices() *notices {
	n := &notices{}
	n.since.Store(&map[fleet.VMID]time.Time{})
	return n
}

// update takes a new list of VMs. One goroutine calls it at a time.
func (n *notices) update(vms map[fleet.VMID]fleet.VM, now time.Time) {
	before := *n.since.Load()
	after := make(map[fleet.VMID]time.Time, len(before))
	for id, vm := range vms {
		if !vm.Leaving {
			continue
		}
		since, known := before[id]
		if !known {
			since = now
		}
		after[id] = since
	}
	n.since.Store(&after)
}

// lasted reports whether a VM has been leaving for longer than bound.
func (n *notices) lasted(vm fleet.VMID, bound time.Duration, now time.Time) bool {
	since, leaving := (*n.since.Load())[vm]
	return leaving && now.Sub(since) > bound
}
