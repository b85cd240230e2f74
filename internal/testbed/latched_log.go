package testbed

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/platform"
)

// latchedLog is a log behind a latch.
type latchedLog struct {
	platform.Log
	latch *Latch
}

// Append implements platform.Log.
func (l *latchedLog) Append(ctx context.Context, stream string, records [][]byte) (platform.Offset, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	offset, err := l.Log.Append(ctx, stream, records)
	if held := l.latch.pass(ctx); held != nil {
		return 0, &platform.UnknownOutcomeError{Operation: "append", Err: held}
	}
	return offset, err
}

// Read implements platform.Log.
func (l *latchedLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if err := l.enter(ctx); err != nil {
		return platform.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if held := l.latch.pass(ctx); held != nil {
		return platform.Page{}, &platform.UnavailableError{Operation: "read", Err: held}
	}
	if l.latch.isCut(SideLog) {
		return platform.Page{}, &platform.UnavailableError{Operation: "read", Err: &CutError{Side: SideLog}}
	}
	return page, err
}

func (l *latchedLog) enter(ctx context.Context) error {
	if err := l.latch.pass(ctx); err != nil {
		return &platform.UnavailableError{Operation: "log", Err: err}
	}
	if l.latch.isCut(SideLog) {
		return &platform.UnavailableError{Operation: "log", Err: &CutError{Side: SideLog}}
	}
	return nil
}
