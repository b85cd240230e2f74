package admit

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Admission is the right of one request to run. The zero value stands outside
// the division of capacity. It belongs to one goroutine.
type Admission struct {
	gate    *Gate
	waiting *waiting
	started time.Time
	given   bool // the right was given back
}

// Done gives the right back. whole says that the request got its whole answer.
func (a *Admission) Done(whole bool) {
	if a.gate == nil || a.given {
		return
	}
	a.given = true
	a.gate.depart(a.waiting, time.Since(a.started), whole)
}

// Pause gives the right back until Resume.
func (a *Admission) Pause() { a.Done(false) }

// Resume waits for the right again until ctx ends, however long the queue is: the
// request was admitted before. Without a complete group of its model the request
// stands outside the division, as on its arrival.
func (a *Admission) Resume(ctx context.Context) *refusal.Refusal {
	if a.gate == nil || !a.given {
		return nil
	}
	for a.gate.served(a.waiting.model) {
		w := newWaiting(a.waiting.model, a.waiting.Ticket)
		w.Returning = true
		refused := a.gate.enter(ctx, w)
		if refused == nil {
			a.waiting, a.started, a.given = w, time.Now(), false
			return nil
		}
		if refused.Reason != refusal.Overloaded {
			return refused
		}
	}
	return nil
}
