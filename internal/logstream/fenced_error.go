package logstream

import "fmt"

// FencedError reports that a later record of the same writer was read back before
// this one, which therefore never takes effect.
type FencedError struct {
	Seq uint64
	By  uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("record %d of the writer was fenced by its record %d", e.Seq, e.By)
}

// SkippedError reports that the stream was restored from a snapshot that covers
// the record, so its result is unknown.
type SkippedError struct {
	Seq uint64
}

// Error implements error.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("the verdict on record %d of the writer expired before it was read", e.Seq)
}
