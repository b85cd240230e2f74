package fakes

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Stall stops the events of all streams; their connections stay open.
func (e *WireEngine) Stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = true
}

// SetLastEvent sets the number of the last event of streams that begin from now on. An event takes
// 30 ms.
func (e *WireEngine) SetLastEvent(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastEvent = number
}

// SetWorkTime sets how long a plain service works on each request.
func (e *WireEngine) SetWorkTime(work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = work
}

func (e *WireEngine) workTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

// PadEvents adds bytes to each event of streams that begin from now on.
func (e *WireEngine) PadEvents(bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.padding = bytes
}

// FallSilent makes the engine neither answer nor go on with a stream while silent is true. Connections are
// accepted.
func (e *WireEngine) FallSilent(silent bool) { e.silence.Set(Faults{Frozen: silent}) }

// Announce makes all answers announce that the engine is leaving. Its entry stays as it is.
func (e *WireEngine) Announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// HoldOff answers every request with a 503 that names a Retry-After; empty ends this.
func (e *WireEngine) HoldOff(retryAfter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = retryAfter
}

// NameLimit makes all answers name a limit of requests a second; empty ends this.
func (e *WireEngine) NameLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// TurnCold makes the engine cold for a time. Its entry says so at once.
func (e *WireEngine) TurnCold(remaining time.Duration) {
	e.mu.Lock()
	e.cold = time.Now().Add(remaining)
	e.mu.Unlock()
	e.register()
}

// coldRemaining returns how long the engine stays cold. The caller holds mu.
func (e *WireEngine) coldRemaining() time.Duration { return max(time.Until(e.cold), 0) }

// CrashOn makes the engine crash whenever it begins to write an answer to a request whose prompt
// has a part. It starts again at once, as a new incarnation without a group.
func (e *WireEngine) CrashOn(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = part
}

// Kill closes the engine's connections at once and removes its entry from the
// store.
func (e *WireEngine) Kill() {
	e.mu.Lock()
	e.killed = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	_ = e.log.Put(context.Background(), "keyed.servers", keyed.Record{Key: e.ID})
}
