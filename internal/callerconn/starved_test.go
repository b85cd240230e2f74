package callerconn_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

// starvedListener accepts nothing while it is starved, as a process without free descriptors.
type starvedListener struct {
	net.Listener
	starved atomic.Bool
}

// Accept implements net.Listener.
func (l *starvedListener) Accept() (net.Conn, error) {
	if l.starved.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

var _ = Describe("A listener that cannot accept connections", func() {
	// Guards against a daemon that counts as ready and takes no new connection.
	It("tells so until it accepts one again, but not after a single failure", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		starved := &starvedListener{Listener: raw}
		starved.starved.Store(true)
		listener := callerconn.Wrap(starved, limit, slog.New(slog.DiscardHandler))
		takesNone := func() bool { return listener.TakesNone(time.Now()) }
		server := &http.Server{Handler: http.NotFoundHandler()}
		DeferCleanup(server.Close)
		Expect(takesNone()).To(BeFalse())
		began := time.Now()
		go func() { _ = server.Serve(listener) }()
		Eventually(takesNone, "500ms", "5ms").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond))
		starved.starved.Store(false)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Eventually(takesNone, "500ms", "5ms").Should(BeFalse())
	})
})

var _ = Describe("A listener whose connections nobody accepts", func() {
	// Guards against a daemon that counts as ready by another listener while its callers' one is not served.
	It("tells so at a later look, until one is accepted", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		DeferCleanup(listener.Close)
		now := time.Now()
		takesNone := func(after time.Duration) bool { return listener.TakesNone(now.Add(after)) }
		Expect(takesNone(0)).To(BeFalse())
		for range 2 {
			conn, err := net.Dial("tcp", raw.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
		}
		Expect(takesNone(time.Second)).To(BeFalse(), "it may have arrived just now")
		Expect(takesNone(2 * time.Second)).To(BeTrue())
		_, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(takesNone(3*time.Second)).To(BeFalse(), "another one waits, but one was accepted")
		Expect(takesNone(4 * time.Second)).To(BeTrue())
	})
})

var _ = Describe("A listener beyond its limit", func() {
	var raw net.Listener
	var listener *callerconn.Listener
	BeforeEach(func() {
		var err error
		raw, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener = callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		DeferCleanup(func() { _ = listener.Close() })
	})
	dial := func(part string) net.Conn {
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, part)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	// Guards against a daemon that counts as ready and closes each new connection unread.
	It("tells so while new connections find no place, and a while after", func() {
		accepted := make(chan net.Conn, 100)
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				accepted <- conn // and nobody reads it
			}
		}()
		takesNone := func() bool { return listener.TakesNone(time.Now()) }
		for range limit + limit/8 {
			dial(request)
			Eventually(accepted).Should(HaveLen(1))
			DeferCleanup((<-accepted).Close)
			Expect(takesNone()).To(BeFalse())
		}
		Eventually(func() bool { dial(request); return takesNone() }, "2s", "50ms").Should(BeTrue())
		Consistently(takesNone, "500ms", "50ms").Should(BeTrue())
		Eventually(takesNone, "3s", "50ms").Should(BeFalse(), "no connection has come for a while")
	})

	// Guards against connections that have brought half a head, and keep those out that bring a request.
	It("accepts and answers new connections when all others have brought half a head", func() {
		server := &http.Server{Handler: http.NotFoundHandler()}
		listener.Attach(server)
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(listener) }()
		for range 4 * limit {
			dial("GET / HTTP")
		}
		for range limit {
			conn := dial(request)
			Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusNotFound))
		}
	})
})
