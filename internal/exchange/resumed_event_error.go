package exchange

import "fmt"

// ResumedEventError reports that a resumed stream does not begin with an event that has an ID.
type ResumedEventError struct{ Last string } // ID of the event after which it resumes

// Error implements error.
func (e *ResumedEventError) Error() string {
	return fmt.Sprintf("no event with an ID follows %q", e.Last)
}
