package fakes

import (
	"encoding/json"
	"net/http"
)

// handleFaults sets the faults over HTTP. It records the start and end of a freeze
// as events, which plantainfake check evaluates.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	before := e.Get()
	e.Set(faults)
	if faults.Frozen && !before.Frozen {
		e.RecordEvent(EventFrozen)
	}
	if before.Frozen && !faults.Frozen {
		e.RecordEvent(EventThawed)
	}
	writeJSON(w, http.StatusOK, faults)
}
