package keyed

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 400 * time.Millisecond // below the time in which configuration has to be in force
	outageAfter = 600 * time.Millisecond // of failures: above one lost call
)

// Follower keeps up with one topic.
type Follower struct {
	log    Log
	topic  string
	pacing Pacing
	apply  func(Batch)
	logger *slog.Logger

	next      uint64
	booted    atomic.Bool
	confirmed atomic.Int64  // Unix nanoseconds of the start of the last call that succeeded
	failing   atomic.Int64  // Unix nanoseconds of the first of the failed calls; 0 after a success
	poke      chan struct{} // ends a pause
	calling   atomic.Pointer[context.CancelFunc]
	poked     atomic.Bool // the call in progress was given up to read anew at once
	direct    atomic.Bool // the call in progress asks the store itself, at once
}

// NewFollower returns a follower that calls apply with each batch, from one
// goroutine.
func NewFollower(log Log, topic string, pacing Pacing, apply func(Batch), logger *slog.Logger) *Follower {
	return &Follower{log: log, topic: topic, pacing: pacing, apply: apply, logger: logger, poke: make(chan struct{}, 1)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.noteFailure(ctx, err)
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		f.pause(ctx)
	}
}

// Booted reports whether the topic was read to its end once.
func (f *Follower) Booted() bool { return f.booted.Load() }

// Age returns how long ago the topic was known to be read to its end.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.confirmed.Load()))
}

// Failing returns for how long all calls have failed.
func (f *Follower) Failing(now time.Time) time.Duration {
	since := f.failing.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// Poke makes the follower read now. A long poll in progress, whose connection may
// have gone silent, is given up if stale is set. A read that was begun so goes on:
// were it given up again and again, a large record would never arrive.
func (f *Follower) Poke(stale bool) {
	if cancel := f.calling.Load(); stale && cancel != nil && f.booted.Load() && !f.direct.Load() {
		f.poked.Store(true)
		(*cancel)()
	}
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

func (f *Follower) pause(ctx context.Context) {
	length := f.pacing.Pause()
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.poke:
	}
}

func (f *Follower) step(ctx context.Context) error {
	started := time.Now()
	if !f.booted.Load() {
		return f.boot(ctx, started)
	}
	longest := f.pacing.Wait
	if f.poked.Swap(false) {
		longest = 0
		ctx = directly(ctx)
		f.direct.Store(true)
		defer f.direct.Store(false)
	}
	call, cancel := context.WithTimeout(ctx, longest+f.pacing.Timeout)
	defer cancel()
	f.calling.Store(&cancel)
	page, err := f.log.Read(call, f.topic, f.next, longest)
	f.calling.Store(nil)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		return f.boot(ctx, started)
	}
	if err != nil && f.poked.Load() {
		return nil
	}
	if err != nil {
		return err
	}
	if n := len(page.Records); n > 0 {
		f.next = page.Records[n-1].Offset + 1
	}
	asked := f.askedAt(started, longest, page)
	batch := Batch{Records: page.Records, End: f.next, At: started, Asked: asked, Regained: f.noteSuccess(asked)}
	f.apply(batch)
	return nil
}

// askedAt returns when the store, at the earliest, held no more than a page tells. A
// long poll that ends without a record was answered when its wait was over, one that
// brings a record no longer ago than a call may take.
func (f *Follower) askedAt(started time.Time, longest time.Duration, page Page) time.Time {
	now := time.Now()
	answered := now.Add(-f.pacing.Timeout)
	if len(page.Records) == 0 && now.Sub(started) >= longest {
		answered = started.Add(longest)
	}
	if answered.Before(started) {
		answered = started
	}
	return answered.Add(-page.Age)
}

// boot reads the newest record of each key. The pages are no snapshot, so it
// goes on from the end that the first page told.
func (f *Follower) boot(ctx context.Context, started time.Time) error {
	var all []Record
	var end uint64
	var age time.Duration
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, f.pacing.Timeout)
		page, err := f.log.Newest(call, f.topic, after)
		cancel()
		if err != nil {
			return err
		}
		if after == "" {
			end = page.End
		}
		age = max(age, page.Age)
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.next = end
	asked := started.Add(-age)
	regained := f.noteSuccess(asked)
	f.apply(Batch{Records: all, Whole: true, End: end, At: started, Asked: asked, Regained: regained})
	f.booted.Store(true)
	return nil
}

// noteSuccess returns the length of the outage that the call ended, 0 if none.
func (f *Follower) noteSuccess(asked time.Time) time.Duration {
	now := time.Now()
	f.confirmed.Store(asked.UnixNano())
	outage := f.Failing(now)
	f.failing.Store(0)
	if outage < outageAfter {
		return 0
	}
	f.logger.Info("store regained", "topic", f.topic, "outage_ms", outage.Milliseconds())
	return outage
}

func (f *Follower) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failing.CompareAndSwap(0, time.Now().UnixNano()) {
		f.logger.Warn("store call failed", "topic", f.topic, "next", f.next, "error", err)
	}
}
