package fakes

import "net"

// hearingListener accepts connections that are read while a process reads.
type hearingListener struct {
	net.Listener
	hearing *Hearing
}

// Accept implements net.Listener.
func (l *hearingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hearingConn{Conn: conn, hearing: l.hearing, closed: make(chan struct{})}, nil
}
