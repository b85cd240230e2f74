package heldbytes

import "fmt"

// LimitError reports that bytes would exceed the limit on what is held.
type LimitError struct {
	Kind                Kind
	Wanted, Held, Limit int64 // bytes
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%d bytes of %s exceed the limit: %d of %d bytes are held", e.Wanted, e.Kind, e.Held, e.Limit)
}
