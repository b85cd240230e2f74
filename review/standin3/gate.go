//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// gate is a proxy that passes connections on to an address. While it is shut it passes nothing on, in neither direction,
// and accepts no connection: a partition without a reset.
type gate struct {
	address string
	to      string

	mu   sync.Mutex
	open chan struct{} // closed: it is open
}

func newGate(to string) *gate {
	listener, err := net.Listen("tcp", ownIP+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	g := &gate{address: listener.Addr().String(), to: to, open: make(chan struct{})}
	close(g.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.pass(conn)
		}
	}()
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) await() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func (g *gate) pass(from net.Conn) {
	g.await()
	to, err := net.Dial("tcp", g.to)
	if err != nil {
		_ = from.Close()
		return
	}
	go g.copy(to, from)
	g.copy(from, to)
}

func (g *gate) copy(to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		g.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
