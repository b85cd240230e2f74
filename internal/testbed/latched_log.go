package testbed

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// latchedLog is a log behind a latch.
type latchedLog struct {
	infra.Log
	latch *Latch
}

// Append implements infra.Log.
func (l *latchedLog) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	offset, err := l.Log.Append(ctx, stream, records)
	if held := l.latch.pass(ctx); held != nil {
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: held}
	}
	return offset, err
}

// Read implements infra.Log.
func (l *latchedLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	if err := l.enter(ctx); err != nil {
		return infra.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if held := l.latch.pass(ctx); held != nil {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: held}
	}
	if l.latch.isCut(SideLog) {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: &CutError{Side: SideLog}}
	}
	return page, err
}

func (l *latchedLog) enter(ctx context.Context) error {
	if err := l.latch.pass(ctx); err != nil {
		return &infra.UnavailableError{Operation: "log", Err: err}
	}
	if l.latch.isCut(SideLog) {
		return &infra.UnavailableError{Operation: "log", Err: &CutError{Side: SideLog}}
	}
	return nil
}
