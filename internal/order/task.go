package order

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// task is one request of an order in progress.
type task struct {
	order    Order
	slot     *followedSlot
	deadline time.Time
	claim    Claim
	result   chan Result
}

func newTask(o Order, f *followedSlot, now time.Time) *task {
	deadline := o.deadlineAt(now)
	return &task{
		order:    o,
		slot:     f,
		deadline: deadline,
		claim:    o.claim(deadline, f.attempts.Add(1)),
		result:   make(chan Result, 1),
	}
}

// reply answers the request unless it was already answered.
func (t *task) reply(result Result) {
	select {
	case t.result <- result:
	default:
	}
}

func (t *task) outcome(claim infra.Offset, state State) Outcome {
	return Outcome{Key: t.order.Key, Claim: claim, State: state}
}
