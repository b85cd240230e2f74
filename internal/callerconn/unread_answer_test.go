package callerconn_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

// Guards against answers that are destroyed by the reset that follows when bytes of their caller are not read.
var _ = Describe("An answer that was written and not read yet", func() {
	const size = 256 << 10 // bytes, of which the caller's system takes a small part
	const taken = 4 << 10  // bytes
	const rest = 1 << 20   // bytes
	answer := strings.Repeat("x", size)
	whole := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	last := "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	finish := func(listener *callerconn.Listener, server *http.Server) {
		listener.Finish(time.Now().Add(2 * time.Second))
		_ = server.Close()
	}
	expire := func(listener *callerconn.Listener, _ *http.Server) {
		for range 20 {
			listener.CloseExpired(time.Now().Add(time.Hour), callerconn.Timeouts{Header: time.Second, Idle: time.Second})
			time.Sleep(20 * time.Millisecond)
		}
	}
	none := func(*callerconn.Listener, *http.Server) {}

	// connect returns a server's listener, the server and a connection of a caller whose system takes little.
	connect := func() (*callerconn.Listener, *http.Server, net.Conn) {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, 8, slog.New(slog.DiscardHandler))
		answered := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = io.WriteString(w, answer)
		})
		server := &http.Server{Handler: listener.Handler(answered, answered)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, taken) })
		}}
		conn, err := small.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return listener, server, conn
	}

	DescribeTable("is read whole by a slow caller that had sent more", func(request, more string, end func(*callerconn.Listener, *http.Server)) {
		listener, server, conn := connect()
		go func() { _, _ = io.WriteString(conn, request+more) }()
		time.Sleep(300 * time.Millisecond)
		end(listener, server)
		time.Sleep(time.Second)
		Expect(conn.SetReadDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
		read, _ := io.ReadAll(conn) // a reset after the whole answer is as good as an end
		Expect(strings.Count(string(read), "x")).To(BeNumerically(">=", size))
	},
		Entry("a part of the next request, at a stop", whole, "GET / HTTP", finish),
		Entry("a part of the next request, at a timeout", whole, "GET / HTTP", expire),
		Entry("a request after its last one", last, whole, none),
		Entry("a request after its last one, at a stop", last, whole, finish),
		Entry("a body that is not read", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", rest), strings.Repeat("y", rest), finish),
		Entry("a part of a body that is not read", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 2*rest), strings.Repeat("y", rest), finish),
		Entry("a part of a body that is not read, at a timeout", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 2*rest), strings.Repeat("y", rest), expire),
	)

	It("does not keep a daemon that stops beyond its time", func() {
		listener, _, conn := connect()
		go func() {
			_, _ = io.WriteString(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", rest, strings.Repeat("y", rest)))
		}()
		time.Sleep(time.Second) // the server has closed it
		began := time.Now()
		Expect(listener.Finish(began.Add(300 * time.Millisecond))).To(Equal(1))
		Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond), "the margin before the platform kills a process")
	})
})
