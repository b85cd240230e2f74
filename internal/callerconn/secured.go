package callerconn

import (
	"crypto/tls"
	"net"
)

// securedListener serves TLS on the connections of a Listener.
type securedListener struct {
	*Listener
	config *tls.Config
}

// secured is TLS on a tracked connection. The heads of requests count as they are decrypted.
type secured struct {
	*tls.Conn
	tracked *tracked
}

// Secured returns a listener that serves TLS on the connections that l accepts, or l itself without a configuration.
func (l *Listener) Secured(config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return &securedListener{Listener: l, config: config}
}

// Accept implements net.Listener.
func (l *securedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := conn.(*tracked)
	c.encrypted = true
	return &secured{Conn: tls.Server(c, l.config), tracked: c}, nil
}

// Read implements net.Conn.
func (s *secured) Read(into []byte) (int, error) {
	n, err := s.Conn.Read(into)
	if n > 0 {
		if refused := s.tracked.listener.countHead(s.tracked, into[:n], len(into)); refused != headAllowed {
			return 0, s.tracked.refuse(s.Conn, refused)
		}
	}
	return n, err
}
