package fakes

import (
	"encoding/json"
	"net/http"
)

// handleFaults sets the faults over HTTP and records a freeze and its end, as
// witnesses for the checks of whole processes.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	before := e.Get()
	e.Set(faults)
	if faults.Frozen && !before.Frozen {
		e.Note(EventFrozen)
	}
	if before.Frozen && !faults.Frozen {
		e.Note(EventThawed)
	}
	writeJSON(w, http.StatusOK, faults)
}
