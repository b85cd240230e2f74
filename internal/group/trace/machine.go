package trace

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// machine is one VM and its engine.
type machine struct {
	vm      fleet.VM
	boots   int
	down    bool
	paused  bool
	group   fleet.FencingNumber
	loading bool
	left    time.Duration // of the load, at full speed
}

func (m *machine) healthy() bool { return !m.down && !m.paused }

func (m *machine) happen(kind EventKind) {
	switch kind {
	case Pause:
		m.paused = true
	case Resume:
		m.paused = false
	case Kill:
		m.down = true
	case Leaving:
		m.vm.Leaving = true
	case Boot:
		m.boots++
		m.down, m.paused, m.vm.Leaving = false, false, false
		m.group, m.loading = fleet.NoGroup, false
	}
}

func (m *machine) obey(target group.ControlTarget, load time.Duration) {
	if !target.Join {
		m.group, m.loading = fleet.NoGroup, false
		return
	}
	m.group, m.loading, m.left = target.Fencing, true, load
}

func (m *machine) report() fleet.MemberReport {
	report := fleet.MemberReport{
		VM:    m.vm.ID,
		Boot:  fleet.BootID(fmt.Sprintf("%s.%d", m.vm.ID, m.boots)),
		Group: m.group,
		State: fleet.EngineIdle,
	}
	if m.group != fleet.NoGroup {
		report.State = fleet.EngineReady
	}
	if m.loading {
		report.State = fleet.EngineLoading
	}
	return report
}
