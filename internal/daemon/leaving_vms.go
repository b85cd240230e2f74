package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// leavingVMs records when each leaving VM was first observed to be leaving.
// Reads are lock-free.
type leavingVMs struct {
	mu      sync.Mutex // serialises writers
	current atomic.Pointer[map[fleet.VMID]time.Time]
}

func newLeavingVMs() *leavingVMs {
	l := &leavingVMs{}
	l.current.Store(&map[fleet.VMID]time.Time{})
	return l
}

// update replaces the leaving VMs by those of a new VM list and keeps the times
// of known ones.
func (l *leavingVMs) update(vms map[fleet.VMID]fleet.VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := *l.current.Load()
	next := make(map[fleet.VMID]time.Time, len(previous))
	for id, vm := range vms {
		if !vm.Leaving {
			continue
		}
		since, found := previous[id]
		if !found {
			since = now
		}
		next[id] = since
	}
	l.current.Store(&next)
}

// longerThan reports whether a VM has been leaving for longer than bound.
func (l *leavingVMs) longerThan(vm fleet.VMID, bound time.Duration, now time.Time) bool {
	since, leaving := (*l.current.Load())[vm]
	return leaving && now.Sub(since) > bound
}
