package invariant

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Ledger is an independent evaluation of a group stream: it determines which forms
// granted their VMs because all of them were free.
type Ledger struct {
	grants  map[fleet.FencingNumber]*grant
	forms   map[fleet.FencingNumber]group.Form
	owner   map[fleet.VMID]fleet.FencingNumber
	fence   map[fleet.VMID]fleet.FencingNumber
	lastSeq map[string]uint64 // highest sequence number of each writer
}

// NewLedger evaluates the records of a stream, which must start at the first one.
func NewLedger(records []infra.Record) *Ledger {
	l := &Ledger{
		grants:  map[fleet.FencingNumber]*grant{},
		forms:   map[fleet.FencingNumber]group.Form{},
		owner:   map[fleet.VMID]fleet.FencingNumber{},
		fence:   map[fleet.VMID]fleet.FencingNumber{},
		lastSeq: map[string]uint64{},
	}
	for _, record := range records {
		l.apply(record)
	}
	return l
}

func (l *Ledger) apply(record infra.Record) {
	var entry logstream.Entry
	if logstream.Unmarshal(record.Data, &entry) != nil || entry.Seq <= l.lastSeq[entry.Writer] {
		return
	}
	l.lastSeq[entry.Writer] = entry.Seq
	at := fleet.FencingNumber(record.Offset)
	switch entry.Kind {
	case group.KindForm:
		var form group.Form
		if logstream.Unmarshal(entry.Body, &form) == nil {
			l.form(at, form)
		}
	case group.KindRelease:
		var release group.Release
		if logstream.Unmarshal(entry.Body, &release) == nil {
			l.release(at, release.Group)
		}
	}
}

func (l *Ledger) form(at fleet.FencingNumber, form group.Form) {
	l.forms[at] = form
	for i, vm := range form.Members {
		if l.owner[vm] != fleet.NoGroup || l.fence[vm] != form.Fences[i] {
			return
		}
	}
	l.grants[at] = &grant{fencing: at, members: form.Members, live: true}
	for _, vm := range form.Members {
		l.owner[vm], l.fence[vm] = at, at
	}
}

func (l *Ledger) release(at, fencing fleet.FencingNumber) {
	found, ok := l.grants[fencing]
	if !ok || !found.live {
		return
	}
	found.live = false
	for _, vm := range found.members {
		l.owner[vm], l.fence[vm] = fleet.NoGroup, at
	}
}

// Granted reports whether the log granted a VM to a group, released or not.
func (l *Ledger) Granted(fencing fleet.FencingNumber, vm fleet.VMID) bool {
	found, ok := l.grants[fencing]
	return ok && slices.Contains(found.members, vm)
}

// Members returns the members that a form lists, whether it was granted or not.
func (l *Ledger) Members(fencing fleet.FencingNumber) []fleet.VMID {
	return l.forms[fencing].Members
}

// Forms returns the number of forms that granted their VMs.
func (l *Ledger) Forms() int {
	return len(l.grants)
}
