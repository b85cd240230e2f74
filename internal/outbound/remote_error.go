package outbound

import "fmt"

// RemoteError is a failure that the daemon reported to which an exchange was forwarded.
type RemoteError struct {
	Daemon string
	Text   string
	Err    error // the same, if its kind matters to the sender; nil otherwise
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("through daemon %s: %s", e.Daemon, e.Text) }

// Unwrap returns the cause, if it is known.
func (e *RemoteError) Unwrap() error { return e.Err }
