package invariant

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// membership is the state of an engine according to its own events: the group that
// it belongs to and since when it is down.
type membership struct {
	group   fleet.FencingNumber
	former  fleet.FencingNumber // the group that it last left
	leftAt  time.Time           // when it left former
	downAt  time.Time           // zero while it runs
	highest fleet.FencingNumber // highest fencing number of its groups so far
}

// apply updates the state with one event of the engine.
func (m *membership) apply(event fakes.EngineEvent) {
	switch event.Kind {
	case fakes.EventControl:
		m.applyOrder(event)
	case fakes.EventBoot:
		m.leave(event.At)
		m.downAt = time.Time{}
	case fakes.EventDown, fakes.EventCrash, fakes.EventFrozen:
		m.downAt = event.At
	case fakes.EventThawed:
		m.downAt = time.Time{}
	}
}

func (m *membership) applyOrder(event fakes.EngineEvent) {
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

// missingSince reports whether the engine is missing from a group, and since when.
// The time is zero when the group is neither its current nor its last one.
func (m *membership) missingSince(fencing fleet.FencingNumber) (time.Time, bool) {
	if m.group == fencing {
		return m.downAt, !m.downAt.IsZero()
	}
	if m.former == fencing {
		return m.leftAt, true
	}
	return time.Time{}, true
}
