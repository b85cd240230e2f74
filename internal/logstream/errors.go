package logstream

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/platform"
)

// ProposalError says that no verdict on a proposal was read back in time.
type ProposalError struct {
	Stream string
	Sent   bool // the record may be in the stream or may still arrive there
	Err    error
}

// Error implements error.
func (e *ProposalError) Error() string {
	if e.Sent {
		return fmt.Sprintf("stream %s: proposal sent, no verdict: %v", e.Stream, e.Err)
	}
	return fmt.Sprintf("stream %s: proposal not sent: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *ProposalError) Unwrap() error { return e.Err }

// RegressedError says that the log ends below what was already applied.
type RegressedError struct {
	Stream  string
	Applied platform.Offset
	Next    platform.Offset
}

// Error implements error.
func (e *RegressedError) Error() string {
	return fmt.Sprintf("stream %s: log ends at %d, but %d was applied", e.Stream, e.Next-1, e.Applied)
}

// NoSnapshotError says that records expired and no retained snapshot covers
// them.
type NoSnapshotError struct {
	Stream string
	Oldest platform.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("stream %s: records before %d expired without a snapshot", e.Stream, e.Oldest)
}

// UnknownKindError says that a fold does not know a kind of record.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind of record %q", e.Kind)
}
