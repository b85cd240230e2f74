package logstream

import "fmt"

// FencedError says that a later record of the same writer was read back before
// this one, which therefore never takes effect.
type FencedError struct {
	Seq uint64
	By  uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("record %d of the writer was fenced by its record %d", e.Seq, e.By)
}

// SkippedError says that a record was passed over by a snapshot, so that its
// verdict is not known.
type SkippedError struct {
	Seq uint64
}

// Error implements error.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("the verdict on record %d of the writer expired before it was read", e.Seq)
}
