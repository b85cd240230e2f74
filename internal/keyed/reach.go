package keyed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	lostAfter  = 500 * time.Millisecond // of failures, if there were several: above one refused call
	lostAlone  = time.Second            // since a failure, if it was the only one: above an answer of a slow store
	manyFailed = 2                      // calls
)

// Reach is a log that notes whether it answers this daemon itself. What is read
// through other daemons tells nothing of that.
type Reach struct {
	Log
	since  atomic.Int64 // Unix nanoseconds from which on the first failed call was overdue; 0 after an answer
	failed atomic.Int32 // calls since an answer
}

// NewReach returns a log that has not failed yet.
func NewReach(log Log) *Reach { return &Reach{Log: log} }

// Lost reports whether calls have failed for a while.
func (r *Reach) Lost(now time.Time) bool {
	since := r.since.Load()
	if since == 0 {
		return false
	}
	length := now.Sub(time.Unix(0, since))
	return length >= lostAlone || length >= lostAfter && r.failed.Load() >= manyFailed
}

// Newest implements Log.
func (r *Reach) Newest(ctx context.Context, topic, after string) (Page, error) {
	due := time.Now()
	page, err := r.Log.Newest(ctx, topic, after)
	r.noteRead(ctx, due, err)
	return page, err
}

// Read implements Log.
func (r *Reach) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	due := time.Now().Add(wait)
	page, err := r.Log.Read(ctx, topic, from, wait)
	r.noteRead(ctx, due, err)
	return page, err
}

// Append implements Log.
func (r *Reach) Append(ctx context.Context, topic string, at uint64, records []Record) (uint64, error) {
	due := time.Now()
	first, err := r.Log.Append(ctx, topic, at, records)
	r.noteWrite(due, err)
	return first, err
}

// Put implements Log.
func (r *Reach) Put(ctx context.Context, topic string, record Record) error {
	due := time.Now()
	err := r.Log.Put(ctx, topic, record)
	r.noteWrite(due, err)
	return err
}

// noteRead learns from a read. One that was given up by this daemon tells nothing.
func (r *Reach) noteRead(ctx context.Context, due time.Time, err error) {
	switch {
	case answered(err):
		r.noteAnswer()
	case !errors.Is(ctx.Err(), context.Canceled):
		r.noteFailure(due)
	}
}

// noteWrite learns from a write. One without an answer tells nothing: the store
// may lose the answers of writes alone.
func (r *Reach) noteWrite(due time.Time, err error) {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case err == nil, errors.As(err, &conflict):
		r.noteAnswer()
	case errors.As(err, &refused):
		r.noteFailure(due)
	}
}

func (r *Reach) noteAnswer() {
	r.failed.Store(0)
	r.since.Store(0)
}

func (r *Reach) noteFailure(due time.Time) {
	if now := time.Now(); due.After(now) {
		due = now
	}
	r.failed.Add(1)
	r.since.CompareAndSwap(0, due.UnixNano())
}
