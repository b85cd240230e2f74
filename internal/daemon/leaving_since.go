package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// leavingSince keeps when each leaving VM was first seen to be leaving. Reading
// takes no lock.
type leavingSince struct {
	mu      sync.Mutex // of writers
	current atomic.Pointer[map[fleet.VMID]time.Time]
}

func newLeavingSince() *leavingSince {
	l := &leavingSince{}
	l.current.Store(&map[fleet.VMID]time.Time{})
	return l
}

// update takes a new list of VMs.
func (l *leavingSince) update(vms map[fleet.VMID]fleet.VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := *l.current.Load()
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
	l.current.Store(&after)
}

// longerThan reports whether a VM has been leaving for longer than bound.
func (l *leavingSince) longerThan(vm fleet.VMID, bound time.Duration, now time.Time) bool {
	since, leaving := (*l.current.Load())[vm]
	return leaving && now.Sub(since) > bound
}
