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
	// noticeIntervalReads is the number of list reads after which an
	// unchanged notice is published again.
	noticeIntervalReads = 5
	// noticeTTLReads is the number of list reads after which a notice
	// expires unless it is published again. It limits how long a wrong list
	// excludes a VM.
	noticeTTLReads = 3 * noticeIntervalReads
)

// VMs polls the platform's list of VMs. While the platform is unavailable, it
// serves the last list. Daemons publish the VMs that their lists mark as leaving,
// so that all daemons act as soon as the first one reads it.
type VMs struct {
	list       infra.VMList
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	period     time.Duration
	logger     *slog.Logger
	onChange   func()
	notices    *leavingNotices
	current    atomic.Pointer[map[fleet.VMID]fleet.VM]

	mu               sync.Mutex
	listed           map[fleet.VMID]fleet.VM
	lastPublished    []fleet.VMID
	readsSinceNotice int // since the last notice
}

// NewVMs returns a VMs that polls list every period and keeps the VMs of one
// data centre. onChange is called after each update.
func NewVMs(list infra.VMList, mesh peer.Mesh, dataCentre fleet.DataCentre, period time.Duration, logger *slog.Logger, onChange func()) *VMs {
	v := &VMs{
		list:       list,
		mesh:       mesh,
		dataCentre: dataCentre,
		period:     period,
		logger:     logger,
		onChange:   onChange,
		notices:    newLeavingNotices(noticeTTLReads * period),
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
		v.logger.Warn("reading the list of VMs failed", "error", err)
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
	v.publishLeaving(leavingVMs(own))
}

// update stores the list, with the VMs that peers reported as leaving marked, and
// calls onChange. With a nil list it marks the previous one again.
func (v *VMs) update(listed map[fleet.VMID]fleet.VM) {
	v.mu.Lock()
	if listed != nil {
		v.listed = listed
	}
	marked := v.notices.markLeaving(v.listed, time.Now())
	v.current.Store(&marked)
	v.mu.Unlock()
	v.onChange()
}

// publishLeaving publishes the leaving VMs to the peers when they change, and
// again every noticeIntervalReads reads. It publishes only what this daemon's own
// list says, never the notices of peers, so that daemons do not renew each
// other's notices indefinitely.
func (v *VMs) publishLeaving(leaving []fleet.VMID) {
	v.mu.Lock()
	v.readsSinceNotice++
	changed := !slices.Equal(leaving, v.lastPublished)
	due := changed || v.readsSinceNotice >= noticeIntervalReads
	if due {
		v.lastPublished = leaving
		v.readsSinceNotice = 0
	}
	v.mu.Unlock()
	if !due || len(leaving) == 0 {
		return
	}
	publish := v.mesh.PublishSoon
	if changed {
		publish = v.mesh.Publish
	}
	publish(peer.TopicLeaving, peer.ScopeDataCentre, leavingNotice{VMs: leaving})
}

func (v *VMs) receive(_ fleet.DaemonID, body cbor.RawMessage) {
	var message leavingNotice
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	if v.notices.add(message.VMs, time.Now()) {
		v.update(nil)
	}
}
