package endpoint

import (
	"encoding/json"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// GenerateRequest starts or resumes one attempt at a request on a group.
type GenerateRequest struct {
	Attempt    string              `json:"attempt"` // unique for each attempt
	Group      fleet.FencingNumber `json:"group"`   // the engine refuses another group's requests
	Model      fleet.ModelName     `json:"model"`
	Adapter    string              `json:"adapter,omitempty"`
	Priority   int                 `json:"priority"`
	Body       json.RawMessage     `json:"body"`                  // the caller's request
	ResumeFrom int                 `json:"resume_from,omitempty"` // index of the first frame wanted
	CacheAfter uint64              `json:"cache_after,omitempty"` // last cache event that the daemon has
}
