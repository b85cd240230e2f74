package daemon

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/watch"
)

// buildMonitoring builds the components that poll members and share the reports
// with peers.
func (d *Daemon) buildMonitoring(wake func()) {
	bound := settings.Millis(d.settings.Timing.ReportBoundMS)
	period := settings.Millis(d.settings.Timing.PollMS)
	changed := func(fleet.VMID, group.Observation) { wake() }
	failed := func(vm fleet.VMID) { d.sharer.RequestFailed(vm) }
	d.table = watch.NewTable(d.id, bound, changed, failed)
	d.assignment = watch.NewAssignment(d.id, d.watchers, d.knownVMs, d.table, bound)
	d.poller = watch.NewPoller(d.id, d.adapters.Engine, d.table, d.assignment, period)
	d.sharer = watch.NewSharer(d.mesh, d.table, d.assignment, d.poller)
}

// knownVMs returns the VMs to monitor. The map must not be modified.
func (d *Daemon) knownVMs() map[fleet.VMID]fleet.VM { return d.loop.KnownVMs() }
