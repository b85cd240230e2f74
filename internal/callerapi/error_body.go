package callerapi

import "github.com/plantainmux/plantainmux/internal/refusal"

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type       refusal.Reason  `json:"type"`
	Message    string          `json:"message"`
	Outcome    refusal.Outcome `json:"outcome"`
	RetryAfter int             `json:"retry_after_seconds,omitempty"`
}

func newErrorBody(refused *refusal.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Type:       refused.Reason,
		Message:    refused.Detail,
		Outcome:    refused.Outcome,
		RetryAfter: retryAfterSeconds(refused),
	}}
}
