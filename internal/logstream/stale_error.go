package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// StaleError says that a record arrived so late that its writer's sequence
// numbers may be forgotten. It has no effect.
type StaleError struct {
	Offset infra.Offset
	Since  infra.Offset
	Window infra.Offset
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("record %d was written at %d, more than %d records earlier", e.Offset, e.Since, e.Window)
}
