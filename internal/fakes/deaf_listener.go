package fakes

import (
	"context"
	"io"
	"net"
)

// DeafListener is the listener of a process that stands still: the system accepts connections for it, and takes no more
// than a small buffer of what is written to each.
type DeafListener struct{ net.Listener }

// NewDeafListener returns a listener on a loopback address.
func NewDeafListener() (*DeafListener, error) {
	config := net.ListenConfig{Control: smallBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &DeafListener{listener}, nil
}

// Address returns the address to connect to.
func (l *DeafListener) Address() string { return l.Addr().String() }

// ReadNext reads the next connection up to its end, and returns how many bytes arrived.
func (l *DeafListener) ReadNext() (int64, error) {
	conn, err := l.Accept()
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	return io.Copy(io.Discard, conn)
}
