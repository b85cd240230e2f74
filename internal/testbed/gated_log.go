package testbed

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// gatedLog is an infra.Log whose calls pass through a Latch.
type gatedLog struct {
	infra.Log
	gate *Latch
}

// Append implements infra.Log.
func (l *gatedLog) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	if err := l.admit(ctx); err != nil {
		return 0, err
	}
	offset, err := l.Log.Append(ctx, stream, records)
	if interrupted := l.gate.awaitThaw(ctx); interrupted != nil {
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: interrupted}
	}
	return offset, err
}

// Read implements infra.Log.
func (l *gatedLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	if err := l.admit(ctx); err != nil {
		return infra.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if interrupted := l.gate.awaitThaw(ctx); interrupted != nil {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: interrupted}
	}
	if l.gate.isCut(SideLog) {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: &CutError{Side: SideLog}}
	}
	return page, err
}

// admit blocks while frozen and fails if ctx has ended or the log is cut off.
func (l *gatedLog) admit(ctx context.Context) error {
	if err := l.gate.awaitThaw(ctx); err != nil {
		return &infra.UnavailableError{Operation: "log", Err: err}
	}
	if l.gate.isCut(SideLog) {
		return &infra.UnavailableError{Operation: "log", Err: &CutError{Side: SideLog}}
	}
	return nil
}
