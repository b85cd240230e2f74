package fakes

import (
	"sync"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// attempt is one request that runs on an engine. Its frames are retained for a
// resume.
type attempt struct {
	done bool // guarded by Engine.mu

	mu     sync.Mutex
	frames []endpoint.Frame
	more   chan struct{} // closed and replaced when a frame is added
}

func newAttempt() *attempt {
	return &attempt{more: make(chan struct{})}
}

func (a *attempt) add(frame endpoint.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frames = append(a.frames, frame)
	close(a.more)
	a.more = make(chan struct{})
}

// from returns the frames from an index on, and a channel that is closed when
// another frame is added.
func (a *attempt) from(index int) ([]endpoint.Frame, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index >= len(a.frames) {
		return nil, a.more
	}
	return a.frames[index:], a.more
}
