package callerconn

import (
	"net"
	"net/http"
	"time"
)

const refusalTimeout = time.Second // to write the answer to a head that is refused

// RefusedHeadError reports a head of a request that was not read to its end.
type RefusedHeadError struct{ Status int }

// Error implements error.
func (e *RefusedHeadError) Error() string {
	return "head of a request refused: " + http.StatusText(e.Status)
}

// refuse answers a head that is not read any further, and returns the error with which the server closes the
// connection without an answer of its own.
func (c *tracked) refuse(conn net.Conn, why headRefusal) error {
	status := http.StatusRequestHeaderFieldsTooLarge
	counter := &c.listener.headsTooLarge
	if why == headWithoutMemory {
		status = http.StatusServiceUnavailable
		counter = &c.listener.headsWithoutMemory
	}
	counter.Add(1)
	c.listener.report(&c.listener.refusedHeadAt, "head of a request refused", "status", status)
	answer := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: c.listener.heads.Refusal(status), Body: http.NoBody, Close: true}
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_ = answer.Write(conn) // the connection is closed whether it arrives or not
	return &net.OpError{Op: "read", Net: "tcp", Err: &RefusedHeadError{Status: status}}
}
