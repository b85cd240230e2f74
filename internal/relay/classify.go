package relay

import (
	"errors"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// isOwnFault reports whether a failure says nothing against the endpoint.
func isOwnFault(err error) bool {
	var sink *SinkError
	var gap *GapError
	var diverged *DivergedError
	var recalled *RecalledError
	if errors.As(err, &recalled) {
		return true
	}
	return errors.As(err, &sink) || errors.As(err, &gap) || errors.As(err, &diverged)
}

// isStatus reports whether the endpoint lives and answered with a status.
func isStatus(err error) bool {
	var status *endpoint.StatusError
	return errors.As(err, &status)
}

// isRejected reports whether the endpoint found fault with the request itself,
// so that another would too.
func isRejected(err error) bool {
	var status *endpoint.StatusError
	if !errors.As(err, &status) {
		return false
	}
	switch status.Status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	default:
		return status.Status >= http.StatusBadRequest && status.Status < http.StatusInternalServerError
	}
}
