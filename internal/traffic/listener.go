package traffic

import "net"

// listener is a net.Listener that counts the bytes of its connections.
type listener struct {
	net.Listener
	counter *Counter
}

// Listen wraps a listener so that counter counts the bytes of all its
// connections.
func Listen(inner net.Listener, counter *Counter) net.Listener {
	return &listener{Listener: inner, counter: counter}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return WrapConn(inner, l.counter), nil
}
