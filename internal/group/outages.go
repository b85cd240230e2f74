package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	flapWindow = 10 * time.Minute // for how long an outage counts against a VM
	flapLimit  = 3                // outages within the window that make a VM unsteady
)

// outages remembers the recent outages of one VM and the start of its boot.
type outages struct {
	starts    []time.Time // within flapWindow
	silent    bool
	boot      fleet.BootID
	bootSince time.Time
	renewed   bool // it has started anew since it was first seen
}

// note counts an outage when a report grows stale or its boot changes.
func (o *outages) note(observation Observation, now time.Time, bound time.Duration) {
	if boot := observation.Report.Boot; o.boot != boot {
		o.renewed = o.boot != ""
		o.boot = boot
		o.bootSince = now
	}
	silent := !observation.Fresh(now, bound)
	if silent && !o.silent {
		o.starts = append(o.starts, now)
	}
	o.silent = silent
	for len(o.starts) > 0 && now.Sub(o.starts[0]) > flapWindow {
		o.starts = o.starts[1:]
	}
}

// unsteady reports whether the VM has failed too often lately.
func (o *outages) unsteady() bool {
	return len(o.starts) >= flapLimit
}
