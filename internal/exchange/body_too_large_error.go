package exchange

import "fmt"

// BodyTooLargeError reports that an answer's body exceeds the size limit.
type BodyTooLargeError struct{ Limit int64 } // bytes

// Error implements error.
func (e *BodyTooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }
