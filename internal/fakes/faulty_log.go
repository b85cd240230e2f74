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
	late sync.WaitGroup // delayed appends

	down atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	faults LogFaults
}

// NewFaultyLog returns a client of log.
func NewFaultyLog(log *Log, seed uint64, faults LogFaults) *FaultyLog {
	return &FaultyLog{log: log, random: rand.New(rand.NewPCG(seed, seed)), faults: faults}
}

// SetDown fails every call without effect, or ends that.
func (f *FaultyLog) SetDown(down bool) { f.down.Store(down) }

// SetFaults replaces the faults.
func (f *FaultyLog) SetFaults(faults LogFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// WaitLate waits for the delayed appends.
func (f *FaultyLog) WaitLate() { f.late.Wait() }

// Append implements infra.Log.
func (f *FaultyLog) Append(_ context.Context, stream string, records [][]byte) (infra.Offset, error) {
	fate, delay := f.draw()
	faults := f.current()
	switch {
	case f.down.Load() || hit(&fate, faults.Unavailable):
		return 0, &infra.UnavailableError{Operation: "append", Err: errInjected}
	case hit(&fate, faults.Limited):
		return 0, &infra.RateLimitedError{}
	case hit(&fate, faults.LoseRequest):
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case hit(&fate, faults.Delay):
		f.late.Go(func() {
			time.Sleep(delay)
			f.log.Append(stream, records)
		})
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case hit(&fate, faults.LoseAnswer):
		f.log.Append(stream, records)
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: errInjected}
	case hit(&fate, faults.Repeat):
		f.log.Append(stream, records)
	}
	first, _ := f.log.Append(stream, records)
	return first, nil
}

// Read implements infra.Log.
func (f *FaultyLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	fate, _ := f.draw()
	if f.down.Load() || hit(&fate, f.current().Unavailable) {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: errInjected}
	}
	return f.log.Read(ctx, stream, from, limit, wait)
}

func (f *FaultyLog) current() LogFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *FaultyLog) draw() (fate float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fate = f.random.Float64()
	if f.faults.MaxDelay > 0 {
		delay = time.Duration(f.random.Int64N(int64(f.faults.MaxDelay)))
	}
	return fate, delay
}

// hit takes a chance off fate and reports whether it fell within it.
func hit(fate *float64, chance float64) bool {
	*fate -= chance
	return *fate < 0
}

// injectedError is the cause of an injected failure.
type injectedError string

// Error implements error.
func (e injectedError) Error() string { return string(e) }

const errInjected injectedError = "injected fault"
