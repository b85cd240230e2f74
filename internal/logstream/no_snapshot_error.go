package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// NoSnapshotError says that records expired and no retained snapshot covers
// them.
type NoSnapshotError struct {
	Stream string
	Oldest infra.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("stream %s: records before %d expired without a snapshot", e.Stream, e.Oldest)
}
