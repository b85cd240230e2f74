package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

func (t *Trace) add(vm fleet.VMID, at time.Duration, kind EventKind) {
	t.Events = sortedEvents(append(t.Events, Event{At: at, VM: vm, Kind: kind}))
}

func (t *Trace) addDomain(domain int, at time.Duration, kind EventKind) {
	for i := range domainVMs {
		t.add(vmID(domain, i), at, kind)
	}
}

func sortedEvents(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
