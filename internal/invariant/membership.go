package invariant

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// membership is what an engine's own record shows at one moment: the group that
// it works for, and since when it has not been able to.
type membership struct {
	group   fleet.FencingNumber
	former  fleet.FencingNumber
	leftAt  time.Time // when it ceased to work for former
	downAt  time.Time // zero when it runs
	highest fleet.FencingNumber
}

// follow notes one event of the engine.
func (m *membership) follow(event fakes.EngineEvent) {
	switch event.Kind {
	case fakes.EventControl:
		m.obey(event)
	case fakes.EventBoot:
		m.leave(event.At)
		m.downAt = time.Time{}
	case fakes.EventDown, fakes.EventCrash, fakes.EventFrozen:
		m.downAt = event.At
	case fakes.EventThawed:
		m.downAt = time.Time{}
	}
}

func (m *membership) obey(event fakes.EngineEvent) {
	if event.Order.Action == endpoint.Release {
		m.leave(event.At)
		return
	}
	if m.group != event.Order.Fencing {
		m.leave(event.At)
	}
	m.group = event.Order.Fencing
	m.highest = max(m.highest, m.group)
}

func (m *membership) leave(at time.Time) {
	if m.group != fleet.NoGroup {
		m.former, m.leftAt = m.group, at
	}
	m.group = fleet.NoGroup
}

// missingSince returns since when the engine has been missing from a group, and
// whether it is.
func (m *membership) missingSince(fencing fleet.FencingNumber) (time.Time, bool) {
	if m.group == fencing {
		return m.downAt, !m.downAt.IsZero()
	}
	if m.former == fencing {
		return m.leftAt, true
	}
	return time.Time{}, true
}
