package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// refuse sends a refusal as the complete answer, and counts it.
func (s *Server) refuse(w http.ResponseWriter, refused *refusal.Refusal) {
	s.Metrics.Refused(refused.Reason)
	s.Evidence.Refused(refused)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(refusal.OutcomeHeader, string(refused.Outcome))
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(refused)))
	}
	w.WriteHeader(refused.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(refused))
}

func retryAfterSeconds(refused *refusal.Refusal) int {
	return int(math.Ceil(refused.RetryAfter.Seconds()))
}
