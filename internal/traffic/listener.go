package traffic

import "net"

// listener accepts connections whose bytes are counted.
type listener struct {
	net.Listener
	counter *Counter
}

// Listen returns a listener that counts the bytes of its connections.
func Listen(inner net.Listener, counter *Counter) net.Listener {
	return &listener{Listener: inner, counter: counter}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Count(inner, l.counter), nil
}
