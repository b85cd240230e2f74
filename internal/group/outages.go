package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	flapWindow = 10 * time.Minute // how long an outage of a VM is counted
	flapLimit  = 3                // outages within flapWindow that make a VM flapping
)

// outages holds the recent outages of one VM and when its current boot was first
// seen.
type outages struct {
	starts   []time.Time // within flapWindow
	stale    bool
	boot     fleet.BootID
	bootTime time.Time
	rebooted bool // rebooted since it was first seen
}

// update records an outage when the VM's report becomes stale, or when its boot
// changes without the report becoming stale first.
func (o *outages) update(observation Observation, now time.Time, bound time.Duration) {
	restarted := o.updateBoot(observation.Report.Boot, now)
	stale := !observation.Fresh(now, bound)
	if !o.stale && (stale || restarted) {
		o.starts = append(o.starts, now)
	}
	o.stale = stale
	for len(o.starts) > 0 && now.Sub(o.starts[0]) > flapWindow {
		o.starts = o.starts[1:]
	}
}

// updateBoot records the boot and reports whether the VM has rebooted since the
// last report.
func (o *outages) updateBoot(boot fleet.BootID, now time.Time) bool {
	if o.boot == boot {
		return false
	}
	o.rebooted = o.boot != ""
	o.boot = boot
	o.bootTime = now
	return o.rebooted
}

// flapping reports whether the VM has had flapLimit outages within flapWindow.
func (o *outages) flapping() bool {
	return len(o.starts) >= flapLimit
}
