package endpoint

import (
	"encoding/json"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// GenerateRequest starts or resumes one attempt to execute a request on a group.
type GenerateRequest struct {
	Attempt    string              `json:"attempt"` // unique for each attempt
	Group      fleet.FencingNumber `json:"group"`   // the engine refuses requests for another group
	Model      fleet.ModelName     `json:"model"`
	Adapter    string              `json:"adapter,omitempty"`
	Priority   int                 `json:"priority"`
	Body       json.RawMessage     `json:"body"`                  // the caller's request
	ResumeFrom int                 `json:"resume_from,omitempty"` // index of the first frame to send
	CacheAfter uint64              `json:"cache_after,omitempty"` // sequence number of the last cache event received by the daemon
}
