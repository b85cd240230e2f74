package fakes

import (
	"encoding/json"
	"net/http"
)

// writeJSON answers with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
