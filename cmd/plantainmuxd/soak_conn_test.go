package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const (
	tcpEstablished = 1 // states of Linux
	tcpClosed      = 7
	resetPeriod    = 50 * time.Millisecond // for the reset that answers bytes for a closed connection
)

// soakConn is a connection of a caller of the soak.
type soakConn struct {
	net.Conn
	reader  *bufio.Reader
	daemon  *daemonProcess
	dialled time.Time
	bound   time.Duration // of the time to an answer
	told    bool          // by the last answer that the connection will be closed
}

// dial opens a connection, or returns nil.
func (s *soak) dial(d *daemonProcess) *soakConn {
	dialled := time.Now()
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return nil
	}
	return &soakConn{Conn: conn, reader: bufio.NewReader(conn), daemon: d, dialled: dialled, bound: s.bound}
}

// state returns the connection's state at the caller's system.
func (c *soakConn) state() uint8 {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	state := uint8(tcpClosed)
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

func soakHead(id, path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nModel: big\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n", path, id, length)
}

// order places an order on the route of a path. Its body comes after a pause, if that is not 0. It returns nil if the caller saw
// beforehand that the connection was closed.
func (c *soakConn) order(path, id string, pause time.Duration) *soakOutcome {
	o := c.place(id, "order", soakHead(id, path+id, len(id)), id, pause)
	if o != nil {
		o.path = path
	}
	return o
}

func (c *soakConn) stream(id string) *soakOutcome {
	return c.place(id, "stream", soakHead(id, "/talk/"+id, 0), "", 0)
}

func (c *soakConn) place(id, kind, head, body string, pause time.Duration) *soakOutcome {
	if c.state() != tcpEstablished {
		return nil
	}
	first, rest := head+body, ""
	if pause > 0 {
		first, rest = head, body
	}
	o := &soakOutcome{id: id, kind: kind, daemon: c.daemon, dialled: c.dialled, sent: time.Now(), pause: pause}
	_, _ = io.WriteString(c, first) // what it got to is told by the end of the connection
	time.Sleep(pause)
	whole := rest == "" || c.state() == tcpClosed
	if !whole {
		_, _ = io.WriteString(c, rest) // it may have been answered already
	}
	_ = c.SetReadDeadline(time.Now().Add(c.bound))
	o.status, o.ending, o.err = c.answer(id, kind, whole)
	o.ended = time.Now()
	return o
}

// answer reads the answer to a request. whole tells that all that was sent of it was sent by one write.
func (c *soakConn) answer(id, kind string, whole bool) (status int, how ending, err error) {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, c.unanswered(err, whole), err
	}
	c.told = answer.Close
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return answer.StatusCode, silent, err
	case err != nil:
		return answer.StatusCode, broken, err
	case c.reader.Buffered() > 0:
		return answer.StatusCode, wrong, errors.New("bytes follow the answer")
	case answer.StatusCode != http.StatusOK:
		return answer.StatusCode, answered, nil
	case answer.Header.Get("Response-Signature") == "":
		return answer.StatusCode, wrong, errors.New("without the signature of an endpoint")
	case kind == "order" && !strings.HasSuffix(string(body), " body="+id):
		return answer.StatusCode, wrong, fmt.Errorf("the answer is to another request: %q", body)
	case kind == "stream" && string(body) != soakEvents():
		return answer.StatusCode, wrong, fmt.Errorf("not the whole stream: %q", body)
	}
	return answer.StatusCode, answered, nil
}

// unanswered tells how a request without an answer ended. A daemon's system answers bytes for a connection that
// was closed before with the end of the stream and then a reset: the caller reads the end, and its side is
// closed. A reset alone means that bytes were unread at the close; the end alone, that all were read.
func (c *soakConn) unanswered(err error, whole bool) ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return silent
	}
	if errors.Is(err, syscall.ECONNRESET) {
		return unread
	}
	time.Sleep(resetPeriod)
	if whole && c.state() == tcpClosed {
		return crossed
	}
	return left
}

const streamLength = 20 // events of 30 ms each

// soakEvents returns the text of a whole stream.
func soakEvents() string {
	var text strings.Builder
	for number := range streamLength {
		_, _ = fmt.Fprintf(&text, "id: %[1]d\ndata: %[1]d\n\n", number+1)
	}
	return text.String()
}
