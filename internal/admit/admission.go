package admit

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Admission is the permission of one request to run. The zero value belongs to a request
// that is not subject to admission control. An Admission must not be used by more than
// one goroutine.
type Admission struct {
	gate     *Gate
	waiting  *waiting
	started  time.Time
	released bool // the permission was released
}

// Done releases the permission. complete states that the request got a complete answer.
// Further calls have no effect.
func (a *Admission) Done(complete bool) {
	if a.gate == nil || a.released {
		return
	}
	a.released = true
	a.gate.release(a.waiting, time.Since(a.started), complete)
}

// Pause releases the permission until Resume.
func (a *Admission) Pause() { a.Done(false) }

// Resume waits for the permission again until ctx is done. The length of the queue does
// not matter, because the request was admitted before. If the model has no complete
// group, the request runs without admission control, as on its arrival.
func (a *Admission) Resume(ctx context.Context) *refusal.Refusal {
	if a.gate == nil || !a.released {
		return nil
	}
	for a.gate.hasCapacity(a.waiting.model) {
		w := newWaiting(a.waiting.model, a.waiting.Ticket)
		w.Readmitted = true
		refused := a.gate.acquire(ctx, w)
		if refused == nil {
			a.waiting, a.started, a.released = w, time.Now(), false
			return nil
		}
		if refused.Reason != refusal.Overloaded {
			return refused
		}
	}
	return nil
}
