package keyed

import (
	"context"
	"sync/atomic"
	"time"
)

// EraObserver wraps the client of the store and reports when the store comes back from an
// older copy of itself, whichever call shows it first.
type EraObserver struct {
	Log
	onRise func(era uint64)
	newest atomic.Uint64 // era + 1; 0: no answer yet
}

// NewEraObserver wraps log. onRise is called once for each era that follows the first one
// that is seen; it must not block.
func NewEraObserver(log Log, onRise func(era uint64)) *EraObserver {
	return &EraObserver{Log: log, onRise: onRise}
}

// Newest implements Log.
func (o *EraObserver) Newest(ctx context.Context, topic, after string) (Page, error) {
	page, err := o.Log.Newest(ctx, topic, after)
	o.observe(page.Era, err)
	return page, err
}

// Read implements Log.
func (o *EraObserver) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	page, err := o.Log.Read(ctx, topic, from, wait)
	o.observe(page.Era, err)
	return page, err
}

// Append implements Log.
func (o *EraObserver) Append(ctx context.Context, topic string, at uint64, records []Record) (Position, error) {
	first, err := o.Log.Append(ctx, topic, at, records)
	o.observe(first.Era, err)
	return first, err
}

func (o *EraObserver) observe(era uint64, err error) {
	if err != nil {
		return
	}
	for {
		newest := o.newest.Load()
		if era+1 <= newest {
			return
		}
		if !o.newest.CompareAndSwap(newest, era+1) {
			continue
		}
		if newest > 0 {
			o.onRise(era)
		}
		return
	}
}
