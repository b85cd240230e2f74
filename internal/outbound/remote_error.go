package outbound

import "fmt"

// RemoteError is a failure that the daemon reported to which an exchange was forwarded.
type RemoteError struct {
	Daemon string
	Text   string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("through daemon %s: %s", e.Daemon, e.Text) }
