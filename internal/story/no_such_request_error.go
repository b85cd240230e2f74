package story

import "fmt"

// NoSuchRequestError says that no log line names a request. Ordinary successes
// are logged by sample only.
type NoSuchRequestError struct{ Request string }

// Error implements error.
func (e *NoSuchRequestError) Error() string {
	return fmt.Sprintf("no log line names request %q: it was an ordinary success, or never came here", e.Request)
}
