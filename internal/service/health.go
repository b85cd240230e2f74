package service

import (
	"sync"
	"sync/atomic"
)

// downAfter is the number of failures in a row after which an endpoint counts
// as down.
const downAfter = 2

// Health is what a daemon knows of the endpoints of services. An endpoint that
// was never seen counts as healthy.
type Health struct {
	failures sync.Map // address to *atomic.Int32, failures in a row
}

// NewHealth returns an empty table.
func NewHealth() *Health {
	return &Health{}
}

// Usable reports whether an endpoint may get work.
func (h *Health) Usable(address string) bool {
	failures, ok := h.failures.Load(address)
	return !ok || failures.(*atomic.Int32).Load() < downAfter
}

// Succeeded notes that an endpoint answered.
func (h *Health) Succeeded(address string) {
	h.count(address).Store(0)
}

// Failed notes that an endpoint did not answer.
func (h *Health) Failed(address string) {
	h.count(address).Add(1)
}

// Down notes that an endpoint takes no connection.
func (h *Health) Down(address string) {
	h.count(address).Store(downAfter)
}

func (h *Health) count(address string) *atomic.Int32 {
	count, _ := h.failures.LoadOrStore(address, &atomic.Int32{})
	return count.(*atomic.Int32)
}
