package fakes

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// Link is the network between one daemon and all endpoints. The daemon's other connections do not
// use it.
type Link struct {
	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed and replaced at each change of fault
	conns   map[*linkConn]struct{}
	dialled int
}

// NewLink returns a link without faults.
func NewLink() *Link {
	return &Link{changed: make(chan struct{}), conns: map[*linkConn]struct{}{}}
}

// Set starts a fault, or ends it with LinkSound.
func (l *Link) Set(fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
	if fault != LinkResets {
		return
	}
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}

// Connections returns how many connections were established so far.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled
}

func (l *Link) state() (LinkFault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// DialContext connects to an endpoint.
func (l *Link) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		fault, changed := l.state()
		switch fault {
		case LinkSound, LinkSilent:
			return l.connect(ctx, network, address)
		case LinkResets:
			return nil, dialError(network, syscall.ECONNRESET)
		case LinkRefusesNew:
			return nil, dialError(network, syscall.ECONNREFUSED)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, dialError(network, os.ErrDeadlineExceeded)
		}
	}
}

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

func (l *Link) connect(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{Conn: raw, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	l.dialled++
	return conn, nil
}
