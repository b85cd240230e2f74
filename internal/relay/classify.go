package relay

import (
	"errors"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

// isNotEndpointFault reports whether a failure is no evidence against the endpoint.
func isNotEndpointFault(err error) bool {
	var notSent *outbound.NotSentError
	if pathFailed(err) || errors.As(err, &notSent) && notSent.Blame != outbound.BlameEndpoint {
		return true
	}
	var sink *SinkError
	var gap *GapError
	var diverged *DivergedError
	var recalled *RecalledError
	if errors.As(err, &recalled) {
		return true
	}
	return errors.As(err, &sink) || errors.As(err, &gap) || errors.As(err, &diverged)
}

// hasStatus reports whether the endpoint is alive and answered with a status.
func hasStatus(err error) bool {
	var status *endpoint.StatusError
	return errors.As(err, &status)
}

// isRejected reports whether the endpoint rejected the request itself, so that any
// other endpoint would reject it too.
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

// pathFailed reports whether an attempt failed on the way to the endpoint, so that another attempt
// may reach it.
func pathFailed(err error) bool {
	var notSent *outbound.NotSentError
	var lost *outbound.PathLostError
	return errors.As(err, &notSent) && notSent.Blame == outbound.BlamePath || errors.As(err, &lost)
}
