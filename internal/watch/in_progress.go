package watch

import (
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// inProgress is the set of VMs with a poll in progress.
type inProgress struct {
	mu  sync.Mutex
	vms map[fleet.VMID]bool
}

func newInProgress() *inProgress {
	return &inProgress{vms: map[fleet.VMID]bool{}}
}

func (s *inProgress) begin(vm fleet.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vms[vm] {
		return false
	}
	s.vms[vm] = true
	return true
}

func (s *inProgress) end(vm fleet.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, vm)
}
