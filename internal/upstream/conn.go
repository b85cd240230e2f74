package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	defaultIdle = 4 * time.Second        // of a server that does not say how long it keeps a connection
	idleMargin  = 700 * time.Millisecond // below the time that a server states: its clock started earlier
	readBuffer  = 4096                   // bytes
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	reused  bool
	until   time.Time // an idle connection is not used from then on
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// send writes a request in one piece.
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

// keep notes how long the server keeps the connection, and reports whether
// another request may use it.
func (c *conn) keep(answer *http.Response, now time.Time) bool {
	if answer.Close || c.reader.Buffered() > 0 {
		return false
	}
	idle := defaultIdle
	if stated, ok := statedIdle(answer.Header.Get("Keep-Alive")); ok {
		idle = stated - idleMargin
	}
	c.until = now.Add(idle)
	return idle > 0
}

// statedIdle reads the timeout of a Keep-Alive header.
func statedIdle(header string) (time.Duration, bool) {
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
