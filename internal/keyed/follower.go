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
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond // less than the time within which a new configuration must be in force
	minOutage  = 600 * time.Millisecond // longer than one lost call
)

// Follower reads one topic continuously and passes its records on.
type Follower struct {
	log    Log
	topic  string
	pacing Pacing
	apply  func(Batch)
	logger *slog.Logger

	nextOffset    uint64
	era           uint64 // of the store, at the last read
	synced        atomic.Bool
	confirmedAt   atomic.Int64  // Unix nanoseconds of the time up to which the topic is known to be read
	failingSince  atomic.Int64  // Unix nanoseconds of the first failed call since the last success; 0 if there is none
	wake          chan struct{} // ends a pause early
	reschedule    chan struct{} // ends a pause in order to determine its end again
	cancelRead    atomic.Pointer[context.CancelFunc]
	rereadPending atomic.Bool // the call in progress was cancelled in order to read again immediately
	directRead    atomic.Bool // the call in progress reads from the store without waiting
}

// NewFollower returns a follower that calls apply with each batch. All calls come from
// the goroutine that calls Run.
func NewFollower(log Log, topic string, pacing Pacing, apply func(Batch), logger *slog.Logger) *Follower {
	return &Follower{log: log, topic: topic, pacing: pacing, apply: apply, logger: logger, wake: make(chan struct{}, 1), reschedule: make(chan struct{}, 1)}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.readOnce(ctx); err != nil {
			f.recordFailure(ctx, err)
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		f.pause(ctx, started)
	}
}

// Synced reports whether the topic has been read to its end at least once.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Age returns the time since the topic was last known to be read to its end.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.confirmedAt.Load()))
}

// OutageLength returns how long all calls have been failing, 0 if the last one succeeded.
func (f *Follower) OutageLength(now time.Time) time.Duration {
	since := f.failingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// Refresh makes the follower read now. If stale is set, it cancels a long poll in progress,
// because its connection may be dead. It does not cancel a read that an earlier Refresh
// started: with repeated cancellation a large record would never arrive.
func (f *Follower) Refresh(stale bool) {
	if cancel := f.cancelRead.Load(); stale && cancel != nil && f.synced.Load() && !f.directRead.Load() {
		f.rereadPending.Store(true)
		(*cancel)()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Reschedule determines the time of the next read again, as what Pacing.Next depends on has
// changed.
func (f *Follower) Reschedule() {
	select {
	case f.reschedule <- struct{}{}:
	default:
	}
}

// pause waits until the next read after one that started at previous.
func (f *Follower) pause(ctx context.Context, previous time.Time) {
	for {
		interval := time.Until(f.pacing.Next(previous))
		if interval <= 0 {
			return
		}
		timer := time.NewTimer(interval)
		select {
		case <-f.reschedule:
			timer.Stop()
			continue
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wake:
		}
		timer.Stop()
		return
	}
}

func (f *Follower) readOnce(ctx context.Context) error {
	started := time.Now()
	if !f.synced.Load() {
		return f.loadNewest(ctx, started)
	}
	maxWait := f.pacing.Wait
	if f.rereadPending.Swap(false) {
		maxWait = 0
		ctx = withDirectRead(ctx)
		f.directRead.Store(true)
		defer f.directRead.Store(false)
	}
	callCtx, cancel := context.WithTimeout(ctx, maxWait+f.pacing.Timeout)
	defer cancel()
	f.cancelRead.Store(&cancel)
	page, err := f.log.Read(withKnownEra(callCtx, f.era), f.topic, f.nextOffset, maxWait)
	f.cancelRead.Store(nil)
	if err == nil {
		err = checkEra(withKnownEra(ctx, f.era), f.topic, page)
	}
	if err == nil && page.Era > f.era {
		return f.loadNewest(ctx, started) // the offsets that this follower knows are void
	}
	var expired *ExpiredError
	if errors.As(err, &expired) {
		return f.loadNewest(ctx, started)
	}
	if err != nil && f.rereadPending.Load() {
		return nil
	}
	if err != nil {
		return err
	}
	if n := len(page.Records); n > 0 {
		f.nextOffset = page.Records[n-1].Offset + 1
	}
	f.nextOffset = max(f.nextOffset, page.Next)
	readAt := f.storeReadAt(started, maxWait, page)
	batch := Batch{Records: page.Records, End: f.nextOffset, Era: f.era, StartedAt: started, StoreReadAt: readAt, OutageDuration: f.recordSuccess(readAt)}
	f.apply(batch)
	return nil
}

// storeReadAt returns the earliest time at which the store can have returned the page. A
// long poll without records was answered when its wait ended; one with records was
// answered at most a call timeout ago.
func (f *Follower) storeReadAt(started time.Time, maxWait time.Duration, page Page) time.Time {
	now := time.Now()
	answered := now.Add(-f.pacing.Timeout)
	if len(page.Records) == 0 && now.Sub(started) >= maxWait {
		answered = started.Add(maxWait)
	}
	if answered.Before(started) {
		answered = started
	}
	return answered.Add(-page.Age)
}

// loadNewest reads the newest record of each key. The pages are not a consistent
// snapshot, so the follower continues from the end offset of the first page.
func (f *Follower) loadNewest(ctx context.Context, started time.Time) error {
	var records []Record
	var end uint64
	var age time.Duration
	era := f.era
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(withKnownEra(ctx, era), f.pacing.Timeout)
		page, err := f.log.Newest(callCtx, f.topic, after)
		if err == nil {
			err = checkEra(callCtx, f.topic, page)
		}
		cancel()
		if err != nil {
			return err
		}
		if after == "" {
			end, era = page.End, page.Era
		}
		if page.Era != era {
			return &StaleEraError{Topic: f.topic, Era: era, Known: page.Era}
		}
		age = max(age, page.Age)
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	restored := f.synced.Load() && era > f.era
	if restored {
		f.logger.Warn("store came back from an older copy", "topic", f.topic, "era", era, "previous_era", f.era, "end", end, "previous_end", f.nextOffset)
	}
	f.nextOffset, f.era = end, era
	readAt := started.Add(-age)
	regained := f.recordSuccess(readAt)
	f.apply(Batch{Records: records, Complete: true, End: end, Era: era, Restored: restored, StartedAt: started, StoreReadAt: readAt, OutageDuration: regained})
	f.synced.Store(true)
	return nil
}

// recordSuccess records a successful call and returns the length of the outage that it
// ended, 0 if there was none.
func (f *Follower) recordSuccess(readAt time.Time) time.Duration {
	now := time.Now()
	f.confirmedAt.Store(readAt.UnixNano())
	outage := f.OutageLength(now)
	f.failingSince.Store(0)
	if outage < minOutage {
		return 0
	}
	f.logger.Info("store outage ended", "topic", f.topic, "outage_ms", outage.Milliseconds())
	return outage
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		f.logger.Warn("failed to read topic from store", "topic", f.topic, "next", f.nextOffset, "error", err)
	}
}
