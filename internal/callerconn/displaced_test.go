package callerconn_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

// slowListener accepts connections that close only once they are released.
type slowListener struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type slowConn struct {
	*net.TCPConn
	listener *slowListener
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	select {
	case c.listener.closing <- struct{}{}:
	default:
	}
	<-c.listener.release
	return c.TCPConn.Close()
}

var _ = Describe("A connection that is closed for a new one", func() {
	// Guards against requests that are handled on connections that are being closed without an answer.
	It("brings no request that arrives in the same moment", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		slow := &slowListener{Listener: raw, closing: make(chan struct{}, 1), release: make(chan struct{})}
		listener := callerconn.Wrap(slow, 1, slog.New(slog.DiscardHandler))
		var handled atomic.Int64
		next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if !callerconn.Left(r.Context()) {
				handled.Add(1)
			}
		})
		server := &http.Server{Handler: listener.Handler(next, next)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		kept, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = kept.Close() }()
		reader := bufio.NewReader(kept)
		_, err = io.WriteString(kept, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(handled.Load()).To(BeEquivalentTo(1))
		Eventually(listener.Full).Should(BeFalse(), "the answer arrives before the connection counts as idle")
		other, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = other.Close() }()
		Eventually(slow.closing).Should(Receive())
		_, err = io.WriteString(kept, request)
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(300*time.Millisecond, func() { close(slow.release) })
		Consistently(handled.Load, "500ms").Should(BeEquivalentTo(1))
	})
})
