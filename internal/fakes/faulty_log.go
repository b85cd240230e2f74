package fakes

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// FaultyLog is an in-process client of a Log that injects random faults from a
// seeded generator. It implements infra.Log.
type FaultyLog struct {
	log  *Log
	down atomic.Bool

	mu          sync.Mutex
	random      *rand.Rand
	faults      LogFaults
	pending     int        // delayed appends that have not taken effect yet
	pendingDone *sync.Cond // signalled when pending reaches zero
}

// NewFaultyLog returns a client of log.
func NewFaultyLog(log *Log, seed uint64, faults LogFaults) *FaultyLog {
	f := &FaultyLog{log: log, random: rand.New(rand.NewPCG(seed, seed)), faults: faults}
	f.pendingDone = sync.NewCond(&f.mu)
	return f
}

// SetDown makes every call fail without effect while down is true.
func (f *FaultyLog) SetDown(down bool) { f.down.Store(down) }

// SetFaults replaces the faults.
func (f *FaultyLog) SetFaults(faults LogFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// WaitLate blocks until no delayed append is pending. Other goroutines may append
// meanwhile; their delayed appends are waited for too.
func (f *FaultyLog) WaitLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.pending > 0 {
		f.pendingDone.Wait()
	}
}

// Append implements infra.Log.
func (f *FaultyLog) Append(_ context.Context, stream string, records [][]byte) (infra.Offset, error) {
	outcome, delay := f.drawAppend()
	switch outcome {
	case callUnavailable:
		return 0, &infra.UnavailableError{Operation: "append", Err: errInjected}
	case callRateLimited:
		return 0, &infra.RateLimitedError{}
	case callLost:
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case callDelayed:
		go f.appendDelayed(stream, records, delay)
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case callUnanswered:
		f.log.Append(stream, records)
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case callRepeated:
		f.log.Append(stream, records)
	}
	first, _ := f.log.Append(stream, records)
	return first, nil
}

func (f *FaultyLog) appendDelayed(stream string, records [][]byte, delay time.Duration) {
	time.Sleep(delay)
	f.log.Append(stream, records)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending--
	if f.pending == 0 {
		f.pendingDone.Broadcast()
	}
}

// Read implements infra.Log.
func (f *FaultyLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	if f.drawRead() == callUnavailable {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: errInjected}
	}
	return f.log.Read(ctx, stream, from, limit, wait)
}

// drawAppend draws the outcome of an append. It counts a delayed append as pending
// under the same lock, so that a later WaitLate cannot miss it.
func (f *FaultyLog) drawAppend() (callOutcome, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sample, delay := f.draw()
	outcome := f.faults.appendOutcome(sample, f.down.Load())
	if outcome == callDelayed {
		f.pending++
	}
	return outcome, delay
}

func (f *FaultyLog) drawRead() callOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	sample, _ := f.draw()
	return f.faults.readOutcome(sample, f.down.Load())
}

// draw returns a random sample in [0, 1) and a delay below MaxDelay. The caller
// holds mu.
func (f *FaultyLog) draw() (sample float64, delay time.Duration) {
	sample = f.random.Float64()
	if f.faults.MaxDelay > 0 {
		delay = time.Duration(f.random.Int64N(int64(f.faults.MaxDelay)))
	}
	return sample, delay
}

// injectedError is the cause of an injected failure.
type injectedError string

// Error implements error.
func (e injectedError) Error() string { return string(e) }

const errInjected injectedError = "injected fault"
