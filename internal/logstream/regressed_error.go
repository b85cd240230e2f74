package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// RegressedError reports that the log ends before the last applied record.
type RegressedError struct {
	Stream  string
	Applied infra.Offset
	Next    infra.Offset
}

// Error implements error.
func (e *RegressedError) Error() string {
	return fmt.Sprintf("stream %s: log ends at %d, but %d was applied", e.Stream, e.Next-1, e.Applied)
}

// RewrittenError reports that the record at an offset differs from the one that
// was applied.
type RewrittenError struct {
	Stream string
	Offset infra.Offset
}

// Error implements error.
func (e *RewrittenError) Error() string {
	return fmt.Sprintf("stream %s: record %d differs from the one that was applied", e.Stream, e.Offset)
}
