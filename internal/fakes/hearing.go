package fakes

import (
	"context"
	"net"
	"sync"
)

// Hearing is whether a process reads its connections. While it is deaf, the system accepts connections for it, and takes no
// more than a small buffer of what is written to each.
type Hearing struct {
	mu    sync.Mutex
	heard chan struct{} // closed: the process reads
}

// NewHearing returns the hearing of a process that reads.
func NewHearing() *Hearing {
	h := &Hearing{heard: make(chan struct{})}
	close(h.heard)
	return h
}

// Deafen makes the process stop reading, or read again.
func (h *Hearing) Deafen(deaf bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.heard:
		if deaf {
			h.heard = make(chan struct{})
		}
	default:
		if !deaf {
			close(h.heard)
		}
	}
}

// Listen returns a listener of the process.
func (h *Hearing) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: smallBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &hearingListener{Listener: listener, hearing: h}, nil
}

// await returns a channel that is closed once the process reads.
func (h *Hearing) await() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard
}
