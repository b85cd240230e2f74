package exchange

import "fmt"

// OversizeError says that an answer's body exceeds the limit.
type OversizeError struct{ Limit int64 } // bytes

// Error implements error.
func (e *OversizeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }
