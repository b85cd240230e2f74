package group

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// maxFreeVMs limits the free VMs in a fold. It is several times the number of VMs
// of a data centre, so that no VM is evicted while a form that names it is being
// appended.
const maxFreeVMs = 2048

// Fold is the state of one data centre's groups, a state machine driven by the
// group stream. A Record is never modified in place, so readers may retain it.
type Fold struct {
	groups map[fleet.FencingNumber]*Record
	vms    map[fleet.VMID]VMState
}

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{
		groups: map[fleet.FencingNumber]*Record{},
		vms:    map[fleet.VMID]VMState{},
	}
}

// Groups returns the groups by fencing number.
func (f *Fold) Groups() map[fleet.FencingNumber]*Record {
	return f.groups
}

// VM returns the state of a VM. A VM that the fold does not hold is free.
func (f *Fold) VM(id fleet.VMID) VMState {
	return f.vms[id]
}

// VMs returns the states of the VMs that are in a group or were in one, except
// evicted ones.
func (f *Fold) VMs() map[fleet.VMID]VMState {
	return f.vms
}

// Apply implements logstream.Fold.
func (f *Fold) Apply(at logstream.Position, kind logstream.Kind, body cbor.RawMessage) error {
	switch kind {
	case KindForm:
		return applyBody(body, func(form Form) error { return f.form(at, form) })
	case KindReady:
		return applyBody(body, func(ready Ready) error { return f.ready(ready) })
	case KindDrain:
		return applyBody(body, func(drain Drain) error { return f.drain(drain) })
	case KindRelease:
		return applyBody(body, func(release Release) error { return f.release(at, release) })
	default:
		return &logstream.UnknownKindError{Kind: kind}
	}
}

func applyBody[T any](body cbor.RawMessage, apply func(T) error) error {
	var value T
	if err := logstream.Unmarshal(body, &value); err != nil {
		return err
	}
	return apply(value)
}

// form assigns the VMs to a new group only if each of them is free at this offset
// and still has the fencing number that the proposer saw.
func (f *Fold) form(at logstream.Position, form Form) error {
	if err := f.checkMembers(form); err != nil {
		return err
	}
	fencing := fleet.FencingNumber(at.Offset)
	addresses := make(map[fleet.VMID]string, len(form.Members))
	for i, vm := range form.Members {
		addresses[vm] = form.Addresses[i]
		f.vms[vm] = VMState{Group: fencing, Fence: fencing}
	}
	f.groups[fencing] = &Record{
		Group: fleet.Group{
			Fencing:      fencing,
			Model:        form.Model,
			Version:      form.Version,
			Adapters:     form.Adapters,
			DataCentre:   form.DataCentre,
			FabricDomain: form.FabricDomain,
			Members:      form.Members,
		},
		Addresses:        addresses,
		ReuseDelayMillis: form.ReuseDelayMillis,
	}
	return nil
}

func (f *Fold) checkMembers(form Form) error {
	count := len(form.Members)
	if count == 0 || len(form.Fences) != count || len(form.Addresses) != count {
		return &MalformedFormError{}
	}
	seen := make(map[fleet.VMID]bool, count)
	for i, vm := range form.Members {
		if seen[vm] || vm == "" {
			return &MalformedFormError{VM: vm}
		}
		seen[vm] = true
		if err := f.checkFree(vm, form.Fences[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fold) checkFree(vm fleet.VMID, seen fleet.FencingNumber) error {
	state := f.vms[vm]
	if state.Group != fleet.NoGroup {
		return &VMTakenError{VM: vm, Group: state.Group}
	}
	if state.Fence != seen {
		return &StaleFenceError{VM: vm, Seen: seen, Now: state.Fence}
	}
	return nil
}

// ready records the boot IDs of the members. A second ready record is rejected,
// since it could hide a restart.
func (f *Fold) ready(ready Ready) error {
	record, ok := f.groups[ready.Group]
	if !ok {
		return &NoSuchGroupError{Group: ready.Group}
	}
	if record.IsReady() || len(ready.Boots) != len(record.Members) {
		return &BootsMismatchError{Group: ready.Group}
	}
	for _, vm := range record.Members {
		if ready.Boots[vm] == "" {
			return &BootsMismatchError{Group: ready.Group}
		}
	}
	updated := *record
	updated.Boots = ready.Boots
	f.groups[ready.Group] = &updated
	return nil
}

// drain marks a group as draining. A drain cannot be undone; it ends with the
// release.
func (f *Fold) drain(drain Drain) error {
	record, ok := f.groups[drain.Group]
	if !ok {
		return &NoSuchGroupError{Group: drain.Group}
	}
	if record.Draining {
		return &AlreadyDrainingError{Group: drain.Group}
	}
	updated := *record
	updated.Draining = true
	f.groups[drain.Group] = &updated
	return nil
}

func (f *Fold) release(at logstream.Position, release Release) error {
	record, ok := f.groups[release.Group]
	if !ok {
		return &NoSuchGroupError{Group: release.Group}
	}
	delete(f.groups, release.Group)
	for _, vm := range record.Members {
		f.vms[vm] = VMState{Fence: fleet.FencingNumber(at.Offset), ReuseDelayMillis: record.ReuseDelayMillis}
	}
	f.evictOldestFree()
	return nil
}

// foldState is the encoding of a Fold.
type foldState struct {
	Groups map[fleet.FencingNumber]*Record `json:"groups"`
	VMs    map[fleet.VMID]VMState          `json:"vms"`
}

// Encode implements logstream.Fold.
func (f *Fold) Encode() ([]byte, error) {
	return logstream.Marshal(foldState{Groups: f.groups, VMs: f.vms})
}

// Decode implements logstream.Fold.
func (f *Fold) Decode(data []byte) error {
	state := foldState{}
	if err := logstream.Unmarshal(data, &state); err != nil {
		return err
	}
	*f = *NewFold()
	for fencing, record := range state.Groups {
		f.groups[fencing] = record
	}
	for vm, vmState := range state.VMs {
		f.vms[vm] = vmState
	}
	return nil
}

// evictOldestFree removes the least recently released free VMs beyond maxFreeVMs.
// Replaced VMs get new names, so the fold would otherwise grow without limit. A
// form that names an evicted VM under its former fencing number is rejected; the
// next form sees the VM without a number.
func (f *Fold) evictOldestFree() {
	var free []fleet.VMID
	for vm, state := range f.vms {
		if state.Group == fleet.NoGroup {
			free = append(free, vm)
		}
	}
	if len(free) <= maxFreeVMs {
		return
	}
	slices.SortFunc(free, func(a, b fleet.VMID) int {
		return cmp.Or(cmp.Compare(f.vms[a].Fence, f.vms[b].Fence), cmp.Compare(a, b))
	})
	for _, vm := range free[:len(free)-maxFreeVMs] {
		delete(f.vms, vm)
	}
}
