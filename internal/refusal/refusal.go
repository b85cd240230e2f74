package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Refusal is the final failure of a request. The daemon sends it to the caller
// immediately.
type Refusal struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter time.Duration // delay after which the caller may retry; zero if a retry cannot succeed
	Detail     string        // human-readable message; never contains a key
}

// New returns a refusal of a request that did not run.
func New(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, RetryAfter: retryAfter, Detail: detail}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: Unknown, RetryAfter: retryAfter, Detail: detail}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

var statusOfReason = map[Reason]int{
	Unauthenticated:  http.StatusUnauthorized,
	Forbidden:        http.StatusForbidden,
	Malformed:        http.StatusBadRequest,
	MissingKey:       http.StatusBadRequest,
	TooLarge:         http.StatusRequestEntityTooLarge,
	UnknownModel:     http.StatusNotFound,
	UnknownService:   http.StatusNotFound,
	TeamOverShare:    http.StatusTooManyRequests,
	Overloaded:       http.StatusTooManyRequests,
	CrashSuspect:     http.StatusUnprocessableEntity,
	KeyReused:        http.StatusUnprocessableEntity,
	OrderInProgress:  http.StatusConflict,
	OrderUnsettled:   http.StatusConflict,
	OrderClosed:      http.StatusConflict,
	AnswerNotKept:    http.StatusConflict,
	DeadlineExceeded: http.StatusGatewayTimeout,
	EndpointBroke:    http.StatusBadGateway,
	EndpointRefused:  http.StatusBadGateway,
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statusOfReason[r.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
