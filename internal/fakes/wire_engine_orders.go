package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
)

func (e *WireEngine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, Group, Model string
		Epoch                   uint64
		Members                 []string
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.applyOrder(order.Operation, order.Group, order.Model, order.Epoch, order.Members)
	e.mu.Unlock()
	e.register()
	w.WriteHeader(status)
}

// applyOrder executes a group order and returns the HTTP status of the answer. The
// caller holds mu.
func (e *WireEngine) applyOrder(operation, group, model string, epoch uint64, members []string) int {
	switch operation {
	case "join":
		if epoch < e.seenEpoch || e.group != nil && e.group["name"] == group && e.group["epoch"] == epoch && !slices.Equal(e.members, members) {
			return http.StatusPreconditionFailed
		}
		e.seenEpoch, e.members = epoch, members
		rank := 0
		for i, member := range members {
			if member == e.ID {
				rank = i
			}
		}
		e.group = map[string]any{"name": group, "epoch": epoch, "rank": rank, "state": "ready"}
		e.models = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	case "open", "close", "leave":
		if e.group == nil || e.group["name"] != group || e.group["epoch"] != epoch {
			return http.StatusConflict
		}
		switch operation {
		case "open":
			e.group["state"] = "open"
		case "close":
			e.group["state"] = "ready"
		default:
			e.group = nil
		}
	}
	return http.StatusAccepted
}
