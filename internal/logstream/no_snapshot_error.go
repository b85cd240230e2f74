package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// NoSnapshotError reports that records have expired and no retained snapshot
// covers them.
type NoSnapshotError struct {
	Stream string
	Oldest infra.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("stream %s: records before offset %d expired and no snapshot covers them", e.Stream, e.Oldest)
}
