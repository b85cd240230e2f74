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

// Gate admits requests, each by the pool of its model.
type Gate struct {
	Dependencies

	mu     sync.Mutex // never held while waiting or sending
	state  *state
	queued map[*Ticket]*waiting
}

// NewGate returns a gate and subscribes it to the mesh.
func NewGate(dependencies Dependencies) *Gate {
	g := &Gate{
		Dependencies: dependencies,
		queued:       map[*Ticket]*waiting{},
	}
	g.state = newState(dependencies.Views, dependencies.Bounds, newPeers(dependencies.Mesh.Self(), dependencies.Declared))
	dependencies.Mesh.Subscribe(peer.TopicUsage, g.learn)
	dependencies.Mesh.HandleCall(peer.MethodUsage, g.answerUsage)
	return g
}

// Admit waits until a request may run. On success the caller calls Done once. A
// request for a model without a complete group here is let through: routing
// knows whether another data centre serves it.
func (g *Gate) Admit(ctx context.Context, req *request.Request) (*Admission, *refusal.Refusal) {
	w := newWaiting(req.Model, Ticket{Team: req.Team, MaxTokens: req.MaxTokens, Deadline: req.Deadline, NoWait: req.Forwarded})
	if !g.served(req.Model) {
		return &Admission{}, nil
	}
	if refused := g.enter(ctx, w); refused != nil {
		return nil, refused
	}
	return &Admission{gate: g, waiting: w, started: time.Now()}, nil
}

// enter waits until a request may run.
func (g *Gate) enter(ctx context.Context, w *waiting) *refusal.Refusal {
	admitted, refused := g.arrive(w)
	if refused != nil || admitted {
		return refused
	}
	return g.wait(ctx, w)
}

func (g *Gate) served(model fleet.ModelName) bool {
	return g.state.capacity(model, time.Now()) > 0
}

func (g *Gate) arrive(w *waiting) (bool, *refusal.Refusal) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	admitted, refused := g.state.arrive(w.model, &w.Ticket, now)
	if !admitted && refused == nil {
		g.queued[&w.Ticket] = w
		g.startNext(g.state.pool(w.model), now)
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
	if !g.leave(w) {
		return nil
	}
	switch {
	case ctx.Err() == nil:
		return refusal.New(refusal.Overloaded, minComeBack, "the request waited too long")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.DeadlineExceeded, minComeBack, "the request's time is over")
	default:
		return refusal.New(refusal.CallerGone, 0, "the caller closed its connection")
	}
}

// leave takes a request out of the queue. It returns false when the request has
// just started.
func (g *Gate) leave(w *waiting) bool {
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

func (g *Gate) depart(w *waiting, took time.Duration, whole bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.state.pool(w.model)
	pool.Depart(&w.Ticket, took, whole)
	g.startNext(pool, now)
}

// startNext starts every waiting request that may run. The caller holds mu.
func (g *Gate) startNext(pool *Pool, now time.Time) {
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
