package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
)

// Gate admits requests through the pool of their model.
type Gate struct {
	Dependencies

	mu     sync.Mutex // not held while waiting or sending
	state  *state
	queued map[*Ticket]*waiting
}

// NewGate returns a Gate that is subscribed to the usage updates of the mesh.
func NewGate(dependencies Dependencies) *Gate {
	g := &Gate{
		Dependencies: dependencies,
		queued:       map[*Ticket]*waiting{},
	}
	g.state = newState(dependencies.Views, dependencies.Bounds, newPeers(dependencies.Mesh.Self(), dependencies.Declared))
	dependencies.Mesh.Subscribe(peer.TopicUsage, g.receiveUpdate)
	dependencies.Mesh.HandleCall(peer.MethodUsage, g.handleUsageCall)
	return g
}

// Admit waits until a request may run. After success the caller must call Done once. A
// request for a model without a complete group in this data centre is admitted at once,
// because routing decides whether another data centre serves it.
func (g *Gate) Admit(ctx context.Context, req *request.Request) (*Admission, *refusal.Refusal) {
	w := newWaiting(req.Model, Ticket{Team: req.Team, MaxTokens: req.MaxTokens, Deadline: req.Deadline, NoWait: req.Forwarded})
	if !g.hasCapacity(req.Model) {
		return &Admission{}, nil
	}
	if refused := g.acquire(ctx, w); refused != nil {
		return nil, refused
	}
	return &Admission{gate: g, waiting: w, started: time.Now()}, nil
}

// acquire waits until a request may run.
func (g *Gate) acquire(ctx context.Context, w *waiting) *refusal.Refusal {
	admitted, refused := g.arrive(w)
	if refused != nil || admitted {
		return refused
	}
	return g.wait(ctx, w)
}

func (g *Gate) hasCapacity(model fleet.ModelName) bool {
	return g.state.capacity(model, time.Now()) > 0
}

func (g *Gate) arrive(w *waiting) (bool, *refusal.Refusal) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	admitted, refused := g.state.arrive(w.model, &w.Ticket, now)
	if !admitted && refused == nil {
		g.queued[&w.Ticket] = w
		g.startWaiting(g.state.pool(w.model), now)
	}
	return admitted, refused
}

func (g *Gate) wait(ctx context.Context, w *waiting) *refusal.Refusal {
	timer := time.NewTimer(time.Until(w.StartBy))
	defer timer.Stop()
	select {
	case <-w.started:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !g.removeQueued(w) {
		return nil
	}
	switch {
	case ctx.Err() == nil:
		return refusal.New(refusal.Overloaded, minRetryAfter, "the request waited too long")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.DeadlineExceeded, minRetryAfter, "the request's time is over")
	default:
		return refusal.New(refusal.CallerGone, 0, "the caller closed its connection")
	}
}

// removeQueued removes a request from the queue. It returns false if the request has
// already started.
func (g *Gate) removeQueued(w *waiting) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.started:
		return false
	default:
	}
	g.state.pool(w.model).Abandon(&w.Ticket)
	delete(g.queued, &w.Ticket)
	return true
}

func (g *Gate) release(w *waiting, took time.Duration, complete bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.state.pool(w.model)
	pool.Depart(&w.Ticket, took, complete)
	g.startWaiting(pool, now)
}

// startWaiting starts all waiting requests that may run. The caller must hold mu.
func (g *Gate) startWaiting(pool *Pool, now time.Time) {
	for {
		ticket := pool.Next(now)
		if ticket == nil {
			return
		}
		if w, ok := g.queued[ticket]; ok {
			delete(g.queued, ticket)
			close(w.started)
		}
	}
}
