package keyed

import (
	"context"
	"time"
)

// Log is a store of compacted topics, which retain the newest record of each key. Its calls
// fail with ExpiredError, ConflictError, RefusedError or UnknownOutcomeError.
type Log interface {
	// Newest returns a page of the newest records of the keys that follow after.
	Newest(ctx context.Context, topic, after string) (Page, error)
	// Read returns the records from an offset on. It waits up to wait for the first
	// record.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Append adds records atomically if the topic ends at offset at. It returns the
	// position of the first record, whose era may be later than the caller expects.
	Append(ctx context.Context, topic string, at uint64, records []Record) (Position, error)
	// Put adds a record unconditionally.
	Put(ctx context.Context, topic string, record Record) error
}
