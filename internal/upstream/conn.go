package upstream

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/outbound"
)

const (
	defaultKeepAlive = 4 * time.Second        // of a server that sends no Keep-Alive timeout
	keepAliveMargin  = 700 * time.Millisecond // subtracted from the server's Keep-Alive timeout, which it counts from an earlier time
	readBufferBytes  = 4096
	maxHeadBytes     = 64 << 10 // of a response and the interim ones before it; four times what the platform allows callers
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	limited   *io.LimitedReader // between the connection and reader
	reused    bool
	expiresAt time.Time // an idle connection is not reused from then on
}

func newConn(raw net.Conn, address string) *conn {
	limited := &io.LimitedReader{R: raw}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited}
}

// readHead reads over interim responses and returns the head of the final one, whose body is not
// limited.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limited.N = maxHeadBytes
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil && c.limited.N <= 0:
			return nil, &HeadTooLargeError{Limit: maxHeadBytes}
		case err != nil:
			return nil, err
		case isInterim(response.StatusCode):
			continue
		case !outbound.IsFinal(response.StatusCode):
			return nil, &outbound.NotFinalError{Status: response.StatusCode}
		}
		c.limited.N = math.MaxInt64
		return response, nil
	}
}

// isInterim reports whether a final response follows one with this status. No request asks to
// switch protocols, so that 101 is a failure.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// send writes a request in a single write.
func (c *conn) send(head Head, body []byte) error {
	var text strings.Builder
	text.WriteString(head.Method + " " + head.Target + " HTTP/1.1\r\nHost: " + head.Host + "\r\n")
	if len(body) > 0 || head.Method != http.MethodGet && head.Method != http.MethodHead {
		text.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	if err := head.Header.Write(&text); err != nil {
		return err
	}
	text.WriteString("\r\n")
	text.Write(body)
	_, err := c.Write([]byte(text.String()))
	return err
}

// keepAlive sets expiresAt from the server's Keep-Alive timeout, and reports whether
// another request may use the connection.
func (c *conn) keepAlive(answer *http.Response, now time.Time) bool {
	if answer.Close || c.reader.Buffered() > 0 {
		return false
	}
	timeout := defaultKeepAlive
	if announced, ok := parseKeepAlive(answer.Header.Get("Keep-Alive")); ok {
		timeout = announced - keepAliveMargin
	}
	c.expiresAt = now.Add(timeout)
	return timeout > 0
}

// parseKeepAlive returns the timeout of a Keep-Alive header.
func parseKeepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
