package callerconn_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

// countedConn counts the reads that are limited in time.
type countedConn struct {
	*net.TCPConn
	limited *atomic.Int32
}

func (c countedConn) SetReadDeadline(at time.Time) error {
	c.limited.Add(1)
	return c.TCPConn.SetReadDeadline(at)
}

type countedListener struct {
	net.Listener
	limited atomic.Int32
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn.(*net.TCPConn), &l.limited}, nil
}

var _ = Describe("A connection that is kept for a caller that does not read", func() {
	// Guards against daemons whose processor time goes into connections that they have closed.
	It("is looked at now and then only", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		counted := &countedListener{Listener: raw}
		listener := callerconn.Wrap(counted, 8, slog.New(slog.DiscardHandler))
		answered := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 256<<10)) })
		server := &http.Server{Handler: listener.Handler(answered, answered)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		}}
		conn, err := small.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		Expect(counted.limited.Load()).To(BeNumerically("<", 30))
		Expect(listener.Finish(time.Now())).To(Equal(1), "it is kept")
	})
})
