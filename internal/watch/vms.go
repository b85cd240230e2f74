package watch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// noticeReads is how many reads of the list pass before a notice is repeated.
	noticeReads = 5
	// noticeLifeReads is how many reads a notice holds that is not repeated: a
	// list that was wrong costs a VM no longer than that.
	noticeLifeReads = 3 * noticeReads
)

// VMs follows the platform's list of VMs. It keeps the last list when the
// platform is away. Daemons tell each other which VMs their lists give as
// leaving, so that the first list that says so counts for all.
type VMs struct {
	list       infra.VMList
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	period     time.Duration
	logger     *slog.Logger
	onChange   func()
	notices    *notices
	current    atomic.Pointer[map[fleet.VMID]fleet.VM]

	mu     sync.Mutex
	listed map[fleet.VMID]fleet.VM
	told   []fleet.VMID
	reads  int // since the last notice
}

// NewVMs returns a follower of the VMs of one data centre.
func NewVMs(list infra.VMList, mesh peer.Mesh, dataCentre fleet.DataCentre, period time.Duration, logger *slog.Logger, onChange func()) *VMs {
	v := &VMs{
		list:       list,
		mesh:       mesh,
		dataCentre: dataCentre,
		period:     period,
		logger:     logger,
		onChange:   onChange,
		notices:    newNotices(noticeLifeReads * period),
		listed:     map[fleet.VMID]fleet.VM{},
	}
	v.current.Store(&map[fleet.VMID]fleet.VM{})
	mesh.Subscribe(peer.TopicLeaving, v.receive)
	return v
}

// All returns the VMs of the data centre. The map must not be changed.
func (v *VMs) All() map[fleet.VMID]fleet.VM {
	return *v.current.Load()
}

// Run reads the list until ctx ends.
func (v *VMs) Run(ctx context.Context) {
	ticker := time.NewTicker(v.period)
	defer ticker.Stop()
	for {
		v.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *VMs) refresh(ctx context.Context) {
	vms, err := v.list.VMs(ctx)
	if err != nil {
		v.logger.Warn("list of VMs not read", "error", err)
		v.update(nil)
		return
	}
	own := make(map[fleet.VMID]fleet.VM)
	for _, vm := range vms {
		if vm.DataCentre == v.dataCentre {
			own[vm.ID] = vm
		}
	}
	v.update(own)
	v.tell(leavingOf(own))
}

// update publishes the list with what peers say; nil keeps the list.
func (v *VMs) update(listed map[fleet.VMID]fleet.VM) {
	v.mu.Lock()
	if listed != nil {
		v.listed = listed
	}
	marked := v.notices.mark(v.listed, time.Now())
	v.current.Store(&marked)
	v.mu.Unlock()
	v.onChange()
}

// tell names the leaving VMs to the peers when they change, and again after
// some reads. Only a list just read is passed on, so that no notice outlives
// its list by going round.
func (v *VMs) tell(leaving []fleet.VMID) {
	v.mu.Lock()
	v.reads++
	news := !slices.Equal(leaving, v.told)
	due := news || v.reads >= noticeReads
	if due {
		v.told = leaving
		v.reads = 0
	}
	v.mu.Unlock()
	if !due || len(leaving) == 0 {
		return
	}
	publish := v.mesh.PublishSoon
	if news {
		publish = v.mesh.Publish
	}
	publish(peer.TopicLeaving, peer.ScopeDataCentre, notice{VMs: leaving})
}

func (v *VMs) receive(_ fleet.DaemonID, body cbor.RawMessage) {
	var message notice
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	if v.notices.hear(message.VMs, time.Now()) {
		v.update(nil)
	}
}
