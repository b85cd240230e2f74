package infra

import (
	"context"
	"time"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream, in order and contiguously, and returns the
	// offset of the first. After an UnknownOutcomeError the records may be in
	// the stream or may not.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns up to limit records from an offset on, waiting up to wait for
	// the first. It fails with ExpiredError when from is below the oldest
	// retained record.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
