package exchange

import (
	"fmt"
	"time"
)

// SlowReaderError reports that the caller took nothing for too long while the daemon held as much of
// its answer as it may.
type SlowReaderError struct{ After time.Duration }

// Error implements error.
func (e *SlowReaderError) Error() string { return fmt.Sprintf("caller took nothing for %v", e.After) }
