package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// RegressedError says that the log ends below what was already applied.
type RegressedError struct {
	Stream  string
	Applied infra.Offset
	Next    infra.Offset
}

// Error implements error.
func (e *RegressedError) Error() string {
	return fmt.Sprintf("stream %s: log ends at %d, but %d was applied", e.Stream, e.Next-1, e.Applied)
}

// RewrittenError says that the log holds another record at an offset than the
// one that was applied.
type RewrittenError struct {
	Stream string
	Offset infra.Offset
}

// Error implements error.
func (e *RewrittenError) Error() string {
	return fmt.Sprintf("stream %s: record %d differs from the one that was applied", e.Stream, e.Offset)
}
