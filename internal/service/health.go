package service

import (
	"sync"
	"sync/atomic"
)

// downAfter is the number of consecutive failures after which an endpoint counts as
// down.
const downAfter = 2

// Health tracks the health of the services' endpoints as observed by this daemon.
// An endpoint without an observation counts as healthy.
type Health struct {
	failures sync.Map // address to *atomic.Int32, consecutive failures
}

// NewHealth returns a Health without observations.
func NewHealth() *Health {
	return &Health{}
}

// Usable reports whether calls may be sent to an endpoint.
func (h *Health) Usable(address string) bool {
	failures, ok := h.failures.Load(address)
	return !ok || failures.(*atomic.Int32).Load() < downAfter
}

// Succeeded records that an endpoint answered.
func (h *Health) Succeeded(address string) {
	h.failureCount(address).Store(0)
}

// Failed records that an endpoint did not answer.
func (h *Health) Failed(address string) {
	h.failureCount(address).Add(1)
}

// Down records that an endpoint accepts no connections, which marks it as down at
// once.
func (h *Health) Down(address string) {
	h.failureCount(address).Store(downAfter)
}

func (h *Health) failureCount(address string) *atomic.Int32 {
	count, _ := h.failures.LoadOrStore(address, &atomic.Int32{})
	return count.(*atomic.Int32)
}
