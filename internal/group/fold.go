package group

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Fold is the state of one data centre's groups. Records are never changed in
// place, so a reader may keep one.
type Fold struct {
	groups map[fleet.FencingNumber]*Record
	vms    map[fleet.VMID]VMState
}

// NewFold returns a fold without groups.
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

// VM returns the state of a VM. A VM never seen is free.
func (f *Fold) VM(id fleet.VMID) VMState {
	return f.vms[id]
}

// VMs returns the states of all VMs that ever were in a group.
func (f *Fold) VMs() map[fleet.VMID]VMState {
	return f.vms
}

// Apply implements logstream.Fold.
func (f *Fold) Apply(at logstream.Position, kind logstream.Kind, body cbor.RawMessage) error {
	switch kind {
	case KindForm:
		return applyBody(body, func(form Form) error { return f.form(at, form) })
	case KindReady:
		return applyBody(body, func(ready Ready) error { return f.ready(at, ready) })
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

// form grants the VMs only if every one is free and rested at this offset.
func (f *Fold) form(at logstream.Position, form Form) error {
	if err := f.checkMembers(at, form.Members); err != nil {
		return err
	}
	fencing := fleet.FencingNumber(at.Offset)
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
		FormedAt:   at.Time,
		RestMillis: form.RestMillis,
	}
	for _, vm := range form.Members {
		f.vms[vm] = VMState{Group: fencing, Fence: fencing}
	}
	return nil
}

func (f *Fold) checkMembers(at logstream.Position, members []fleet.VMID) error {
	if len(members) == 0 {
		return &MalformedFormError{}
	}
	seen := make(map[fleet.VMID]bool, len(members))
	for _, vm := range members {
		if seen[vm] || vm == "" {
			return &MalformedFormError{VM: vm}
		}
		seen[vm] = true
		state := f.vms[vm]
		if state.Group != fleet.NoGroup {
			return &VMTakenError{VM: vm, Group: state.Group}
		}
		if at.Time.Before(state.RestUntil) {
			return &VMRestingError{VM: vm, Until: state.RestUntil}
		}
	}
	return nil
}

// ready records the boots once; a second record could hide a restart.
func (f *Fold) ready(at logstream.Position, ready Ready) error {
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
	updated.ReadyAt = at.Time
	f.groups[ready.Group] = &updated
	return nil
}

func (f *Fold) release(at logstream.Position, release Release) error {
	record, ok := f.groups[release.Group]
	if !ok {
		return &NoSuchGroupError{Group: release.Group}
	}
	delete(f.groups, release.Group)
	rest := time.Duration(record.RestMillis) * time.Millisecond
	for _, vm := range record.Members {
		f.vms[vm] = VMState{Fence: fleet.FencingNumber(at.Offset), RestUntil: at.Time.Add(rest)}
	}
	return nil
}

// foldState is the encoded form of a Fold.
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
