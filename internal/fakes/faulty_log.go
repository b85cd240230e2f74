package fakes

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// FaultyLog is a client of a Log within the same process, with random faults
// from a fixed seed.
type FaultyLog struct {
	log  *Log
	down atomic.Bool

	mu      sync.Mutex
	random  *rand.Rand
	faults  LogFaults
	late    int        // delayed appends that have not run
	allLate *sync.Cond // signalled when late reaches zero
}

// NewFaultyLog returns a client of log.
func NewFaultyLog(log *Log, seed uint64, faults LogFaults) *FaultyLog {
	f := &FaultyLog{log: log, random: rand.New(rand.NewPCG(seed, seed)), faults: faults}
	f.allLate = sync.NewCond(&f.mu)
	return f
}

// SetDown fails every call without effect, or ends that.
func (f *FaultyLog) SetDown(down bool) { f.down.Store(down) }

// SetFaults replaces the faults.
func (f *FaultyLog) SetFaults(faults LogFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// WaitLate waits for the delayed appends. Others may begin meanwhile.
func (f *FaultyLog) WaitLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.late > 0 {
		f.allLate.Wait()
	}
}

// Append implements infra.Log.
func (f *FaultyLog) Append(_ context.Context, stream string, records [][]byte) (infra.Offset, error) {
	fate, delay := f.drawAppend()
	switch fate {
	case fateUnavailable:
		return 0, &infra.UnavailableError{Operation: "append", Err: errInjected}
	case fateLimited:
		return 0, &infra.RateLimitedError{}
	case fateLost:
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case fateDelayed:
		go f.appendLate(stream, records, delay)
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case fateUnanswered:
		f.log.Append(stream, records)
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case fateRepeated:
		f.log.Append(stream, records)
	}
	first, _ := f.log.Append(stream, records)
	return first, nil
}

func (f *FaultyLog) appendLate(stream string, records [][]byte, delay time.Duration) {
	time.Sleep(delay)
	f.log.Append(stream, records)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late--
	if f.late == 0 {
		f.allLate.Broadcast()
	}
}

// Read implements infra.Log.
func (f *FaultyLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	if f.drawRead() == fateUnavailable {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: errInjected}
	}
	return f.log.Read(ctx, stream, from, limit, wait)
}

// drawAppend draws what happens to an append. A delayed one counts as late from
// here on, so that WaitLate misses none that was drawn before it.
func (f *FaultyLog) drawAppend() (callFate, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chance, delay := f.draw()
	fate := f.faults.ofAppend(chance, f.down.Load())
	if fate == fateDelayed {
		f.late++
	}
	return fate, delay
}

func (f *FaultyLog) drawRead() callFate {
	f.mu.Lock()
	defer f.mu.Unlock()
	chance, _ := f.draw()
	return f.faults.ofRead(chance, f.down.Load())
}

// draw returns a number in [0, 1) and a delay. The caller holds the lock.
func (f *FaultyLog) draw() (chance float64, delay time.Duration) {
	chance = f.random.Float64()
	if f.faults.MaxDelay > 0 {
		delay = time.Duration(f.random.Int64N(int64(f.faults.MaxDelay)))
	}
	return chance, delay
}

// injectedError is the cause of an injected failure.
type injectedError string

// Error implements error.
func (e injectedError) Error() string { return string(e) }

const errInjected injectedError = "injected fault"
