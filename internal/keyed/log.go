package keyed

import (
	"context"
	"time"
)

// Log is a store of topics that keep the newest record of each key. Its calls
// fail with ExpiredError, ConflictError, RefusedError or LostError.
type Log interface {
	// Newest returns a page of the newest records, of the keys after one.
	Newest(ctx context.Context, topic, after string) (Page, error)
	// Read returns the records from an offset on, waiting up to wait for the
	// first.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Append adds records, all or none, if the topic ends at an offset. It
	// returns the offset of the first.
	Append(ctx context.Context, topic string, at uint64, records []Record) (uint64, error)
	// Put adds a record on no condition.
	Put(ctx context.Context, topic string, record Record) error
}
