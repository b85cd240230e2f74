package trace

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// simulatedVM is one VM with its engine.
type simulatedVM struct {
	vm            fleet.VM
	boots         int
	down          bool
	paused        bool
	group         fleet.FencingNumber
	loading       bool
	loadRemaining time.Duration // load time left at full speed
}

func (m *simulatedVM) healthy() bool { return !m.down && !m.paused }

func (m *simulatedVM) applyEvent(kind EventKind) {
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

func (m *simulatedVM) carryOut(target group.ControlTarget, load time.Duration) {
	if !target.Join {
		m.group, m.loading = fleet.NoGroup, false
		return
	}
	m.group, m.loading, m.loadRemaining = target.Fencing, true, load
}

func (m *simulatedVM) report() fleet.MemberReport {
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
