package callerconn_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

var _ = Describe("The timeouts of callers' connections", func() {
	const header, idle = 2 * time.Second, time.Minute
	var listener *callerconn.Listener
	var proceed chan struct{}
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	send := func(conn net.Conn, text string) {
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
	}
	answered := func(conn net.Conn) bool {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil
	}
	open := func(conn net.Conn) func() bool {
		return func() bool {
			Expect(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
			_, err := conn.Read(make([]byte, 1))
			timeout, ok := err.(net.Error)
			return ok && timeout.Timeout()
		}
	}
	expire := func(after time.Duration) {
		listener.CloseExpired(time.Now().Add(after), callerconn.Timeouts{Header: header, Idle: idle})
	}
	BeforeEach(func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener = callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		proceed = make(chan struct{})
		next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-proceed
			}
		})
		server := &http.Server{Handler: listener.Handler(next, next)}
		listener.Attach(server)
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(listener) }()
	})

	// Guards against closing connections that callers may still use by the configuration.
	It("are counted from the last answer to an idle one, and do not concern one with a request in progress", func() {
		kept, busy := connect(), connect()
		send(kept, request)
		Expect(answered(kept)).To(BeTrue())
		send(busy, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		expire(idle - time.Second)
		Expect(open(kept)()).To(BeTrue())
		expire(idle + time.Second)
		Eventually(open(kept)).Should(BeFalse())
		expire(time.Hour)
		Expect(open(busy)()).To(BeTrue())
		close(proceed)
		Expect(busy.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(answered(busy)).To(BeTrue())
	})

	It("are shorter for the head of a request that has begun, on a new connection and on a kept one", func() {
		kept, fresh := connect(), connect()
		send(kept, request)
		Expect(answered(kept)).To(BeTrue())
		send(kept, "GET / HTTP/1.1\r\nHo")
		send(fresh, "GET / HTTP/1.1\r\nHo")
		time.Sleep(50 * time.Millisecond)
		expire(header - time.Second)
		Expect([]bool{open(kept)(), open(fresh)()}).To(Equal([]bool{true, true}))
		expire(header + time.Second)
		Eventually(open(kept)).Should(BeFalse())
		Eventually(open(fresh)).Should(BeFalse())
	})

	// Guards against a configuration that closes connections which their callers still use by the one before.
	It("stay those that were in force when a connection was last used, if they become shorter", func() {
		expire(0)
		kept := connect()
		send(kept, request)
		Expect(answered(kept)).To(BeTrue())
		time.Sleep(50 * time.Millisecond)
		shorter := callerconn.Timeouts{Header: time.Second, Idle: time.Second}
		listener.CloseExpired(time.Now().Add(idle-time.Second), shorter)
		Expect(open(kept)()).To(BeTrue())
		send(kept, request)
		Expect(kept.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(answered(kept)).To(BeTrue())
		time.Sleep(50 * time.Millisecond)
		listener.CloseExpired(time.Now().Add(2*time.Second), shorter)
		Eventually(open(kept)).Should(BeFalse())
	})
})
