package exchange

import "fmt"

// BodyTooLargeError reports that an answer's body exceeds the size limit.
type BodyTooLargeError struct {
	Limit  int64 // bytes
	Shared bool  // the limit is that of all bodies together, which shows nothing about the endpoint
} // bytes

// Error implements error.
func (e *BodyTooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }
