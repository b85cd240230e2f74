package fakes

import (
	"context"
	"encoding/json"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// register writes the engine's entry to the store, unless it was killed.
func (e *WireEngine) register() {
	e.mu.Lock()
	e.sequence++
	entry := e.state()
	entry["service"] = e.Service
	entry["address"] = e.listener.Addr().String()
	entry["zone"] = e.Zone
	entry["version"] = "v1"
	entry["slots"] = 8
	entry["state"] = "ready"
	if !e.departed.IsZero() {
		entry["state"] = "draining"
	}
	if !e.mute {
		entry["cold_remaining_ms"] = e.coldRemaining().Milliseconds()
	}
	entry["sequence"] = e.sequence
	killed := e.killed
	e.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil || killed {
		return
	}
	_ = e.log.Put(context.Background(), "keyed.servers", keyed.Record{Key: e.ID, Value: value})
}

// state returns the fields that the entry and the report have in common. The
// caller holds mu.
func (e *WireEngine) state() map[string]any {
	state := map[string]any{"born": e.Born, "models": e.models}
	if e.Domain != "" {
		state["domain"] = e.Domain
		state["staged"] = []string{"big"}
		state["group"] = e.group
	}
	return state
}
