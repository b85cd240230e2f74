package infra

import (
	"context"
	"time"
)

// Log is the interface of the platform's append-only log service.
type Log interface {
	// Append adds records to a stream at contiguous offsets, in order, and
	// returns the offset of the first one. After an UnknownOutcomeError the
	// records may or may not have been appended; after a RateLimitedError or
	// UnavailableError they have not.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns up to limit records, starting at offset from. If there are
	// none, it waits for up to wait. It fails with ExpiredError if from is
	// below the oldest retained record.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
