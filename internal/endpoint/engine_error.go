package endpoint

import "github.com/plantainmux/plantainmux/internal/fleet"

// EngineError is the response body of an engine that refuses a request.
type EngineError struct {
	Code    string              `json:"code"`
	Highest fleet.FencingNumber `json:"highest,omitempty"`
}

// Codes of EngineError. All except CodeNoAttempt prove that the request did not
// run.
const (
	CodeStaleFencing = "stale_fencing"
	CodeWrongGroup   = "wrong_group"
	CodeNotReady     = "not_ready"
	CodeQueueFull    = "queue_full"
	CodeUnknownModel = "unknown_model"
	CodeNoAttempt    = "no_such_attempt" // nothing to resume
)

// provesNotRun reports whether a refusal code proves that the request did not run.
// An unknown code does not.
func provesNotRun(code string) bool {
	switch code {
	case CodeStaleFencing, CodeWrongGroup, CodeNotReady, CodeQueueFull, CodeUnknownModel:
		return true
	default:
		return false
	}
}
