package outbound

import "fmt"

// PathLostError reports that the way to the endpoint broke during an exchange. The endpoint may
// have received the request and is not known to have failed.
type PathLostError struct {
	Via string // daemon to which the exchange was forwarded; empty: it was sent directly
	Err error
}

// Error implements error.
func (e *PathLostError) Error() string {
	if e.Via == "" {
		return fmt.Sprintf("link to the endpoints lost: %v", e.Err)
	}
	return fmt.Sprintf("daemon %s lost: %v", e.Via, e.Err)
}

// Unwrap returns the cause.
func (e *PathLostError) Unwrap() error { return e.Err }
