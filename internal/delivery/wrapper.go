package delivery

import "net"

// wrapper is a connection over another one, as of TLS.
type wrapper interface{ NetConn() net.Conn }
