package fakes

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// PathEvents is the path that returns the recorded events of an engine.
const PathEvents = "/events"

// Kinds of an engine's recorded events.
const (
	EventControl  = "control"  // an accepted control order
	EventRefused  = "refused"  // a control order with a stale fencing number
	EventStart    = "start"    // a request began to run
	EventFinish   = "finish"   // a request ran to its end
	EventCancel   = "cancel"   // a request was cancelled
	EventRejected = "rejected" // a request was refused before it ran
	EventCrash    = "crash"    // the engine crashed
	EventBoot     = "boot"     // a new boot began
	EventDown     = "down"     // the process ended
	EventFrozen   = "frozen"   // the process was paused
	EventThawed   = "thawed"   // the process was resumed
)

// EngineEvent is one event on an engine, recorded for the checks of tests.
type EngineEvent struct {
	At      time.Time             `json:"at"`
	VM      fleet.VMID            `json:"vm"`
	Boot    fleet.BootID          `json:"boot"`
	Kind    string                `json:"kind"`
	Group   fleet.FencingNumber   `json:"group"`
	Attempt string                `json:"attempt,omitempty"`
	Body    string                `json:"body,omitempty"`
	Order   endpoint.ControlOrder `json:"order,omitzero"`
}
