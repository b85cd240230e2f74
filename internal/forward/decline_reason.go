package forward

import "github.com/plantainmux/plantainmux/internal/outbound"

// DeclineReason is why a daemon does not carry out an exchange for another one.
type DeclineReason string

// Reasons to decline an exchange.
const (
	DeclinedStopping  DeclineReason = "stopping"         // the daemon is shutting down
	DeclinedCutOff    DeclineReason = "cut_off"          // it is cut off from the endpoints itself
	DeclinedStranger  DeclineReason = "stranger"         // the daemon that forwards is not one of the fleet
	DeclinedUnknown   DeclineReason = "unknown_endpoint" // it sends the endpoint no requests, as to one that is leaving
	DeclinedEvacuated DeclineReason = "evacuated"        // the endpoint is in an evacuated data centre
	DeclinedHeld      DeclineReason = "held_back"        // the endpoint wants no request of it now

	DeclinedRegion         DeclineReason = "region"          // the body may not be passed on to the daemon's region
	DeclinedEndpointRegion DeclineReason = "endpoint_region" // the request may not be handled in the endpoint's region
)

// blame returns what keeps a declined exchange from being sent.
func (r DeclineReason) blame() outbound.Blame {
	switch r {
	case DeclinedUnknown, DeclinedEvacuated, DeclinedHeld, DeclinedEndpointRegion:
		return outbound.BlameHold
	default:
		return outbound.BlamePath
	}
}

// Decline returns the error of an exchange that is declined.
func Decline(reason DeclineReason) *outbound.NotSentError {
	return &outbound.NotSentError{Blame: reason.blame(), Err: &DeclinedError{Reason: reason}}
}
