// Package admit decides which requests may run now, which wait and which are
// refused.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
)

const retryWhenFull = time.Second

// Gate admits requests up to a capacity.
type Gate struct {
	capacity func() int

	mu      sync.Mutex
	running int
}

// NewGate returns a gate over a capacity in concurrent requests.
func NewGate(capacity func() int) *Gate {
	return &Gate{capacity: capacity}
}

// Admit waits for capacity. On success the caller must call release once.
func (g *Gate) Admit(_ context.Context, _ *request.Request) (release func(), refused *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.capacity() {
		return nil, refusal.New(refusal.Overloaded, retryWhenFull, "all capacity is in use")
	}
	g.running++
	return sync.OnceFunc(g.release), nil
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}
