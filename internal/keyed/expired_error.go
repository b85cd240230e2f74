package keyed

import "fmt"

// ExpiredError reports that records were deleted before they were read.
type ExpiredError struct {
	Topic string
	First uint64 // oldest retained offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("topic %s: records before offset %d have expired", e.Topic, e.First)
}
