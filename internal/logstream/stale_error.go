package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// StaleError reports that a record reached the log so late that its writer's
// sequence numbers may have been removed. The record has no effect.
type StaleError struct {
	Offset infra.Offset // of the record
	Since  infra.Offset // last offset that its writer had applied when it encoded the record
	Window infra.Offset // number of records
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("record %d was written at %d, more than %d records earlier", e.Offset, e.Since, e.Window)
}
