package peer

import "errors"

// closeReason returns the metric label for the error that closed a link.
func closeReason(err error) string {
	var silent *SilentError
	var closed *ClosedError
	var protocol *ProtocolError
	switch {
	case errors.As(err, &silent):
		return "silent"
	case errors.As(err, &closed):
		return "closed"
	case errors.As(err, &protocol):
		return "protocol"
	default:
		return "broken"
	}
}
