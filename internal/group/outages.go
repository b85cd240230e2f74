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

// note counts an outage when a report grows stale, or when its boot changes
// without that.
func (o *outages) note(observation Observation, now time.Time, bound time.Duration) {
	restarted := o.noteBoot(observation.Report.Boot, now)
	silent := !observation.Fresh(now, bound)
	if !o.silent && (silent || restarted) {
		o.starts = append(o.starts, now)
	}
	o.silent = silent
	for len(o.starts) > 0 && now.Sub(o.starts[0]) > flapWindow {
		o.starts = o.starts[1:]
	}
}

// noteBoot reports whether the VM has started anew since the last report.
func (o *outages) noteBoot(boot fleet.BootID, now time.Time) bool {
	if o.boot == boot {
		return false
	}
	o.renewed = o.boot != ""
	o.boot = boot
	o.bootSince = now
	return o.renewed
}

// unsteady reports whether the VM has failed too often lately.
func (o *outages) unsteady() bool {
	return len(o.starts) >= flapLimit
}
