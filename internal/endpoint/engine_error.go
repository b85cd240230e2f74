package endpoint

import "github.com/plantainmux/plantainmux/internal/fleet"

// EngineError is the body of an engine's refusal.
type EngineError struct {
	Code    string              `json:"code"`
	Highest fleet.FencingNumber `json:"highest,omitempty"`
}

// Codes of an engine's refusal. All but CodeNoAttempt prove that the request
// did not run.
const (
	CodeStaleFencing = "stale_fencing"
	CodeWrongGroup   = "wrong_group"
	CodeNotReady     = "not_ready"
	CodeQueueFull    = "queue_full"
	CodeUnknownModel = "unknown_model"
	CodeNoAttempt    = "no_such_attempt" // nothing to resume
)

// provesNotRun reports whether a refusal with a code says that nothing ran. A
// code that is not known proves nothing.
func provesNotRun(code string) bool {
	switch code {
	case CodeStaleFencing, CodeWrongGroup, CodeNotReady, CodeQueueFull, CodeUnknownModel:
		return true
	default:
		return false
	}
}
