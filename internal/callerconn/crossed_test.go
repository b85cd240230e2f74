package callerconn_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

// crossedListener accepts connections whose server reads what has arrived just before the next look at the
// socket, as a reader that runs on another processor may.
type crossedListener struct {
	net.Listener
	armed atomic.Bool
	held  sync.RWMutex
}

// Accept implements net.Listener.
func (l *crossedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossedConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type crossedConn struct {
	*net.TCPConn
	listener *crossedListener
	taken    atomic.Int64
}

// Read implements net.Conn.
func (c *crossedConn) Read(into []byte) (int, error) {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, failed := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		c.listener.held.RLock()
		defer c.listener.held.RUnlock()
		n, failed = syscall.Read(int(fd), into)
		return failed != syscall.EAGAIN
	})
	if err != nil || failed != nil {
		return 0, net.ErrClosed
	}
	if n == 0 {
		return 0, io.EOF
	}
	c.taken.Add(int64(n))
	return n, nil
}

// SyscallConn implements syscall.Conn.
func (c *crossedConn) SyscallConn() (syscall.RawConn, error) {
	if c.listener.armed.Swap(false) {
		before := c.taken.Load()
		c.listener.held.Unlock()
		for deadline := time.Now().Add(time.Second); c.taken.Load() == before && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Millisecond) // the server has noted the read
	}
	return c.TCPConn.SyscallConn()
}

var _ = Describe("A request that is read while its connection is looked at", func() {
	// Guards against a connection that counts as quiet as it was neither read before nor unread afterwards.
	DescribeTable("is answered although its connection", func(act func(listener *callerconn.Listener)) {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		crossed := &crossedListener{Listener: raw}
		listener := callerconn.Wrap(crossed, 1, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond) // idle
		crossed.held.Lock()
		crossed.armed.Store(true)
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		act(listener)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("has exceeded a timeout", func(listener *callerconn.Listener) {
			listener.CloseExpired(time.Now().Add(time.Hour), callerconn.Timeouts{Header: time.Second, Idle: time.Second})
		}),
		Entry("is closed as the daemon stops", func(listener *callerconn.Listener) {
			go listener.Finish(time.Now().Add(5 * time.Second))
		}),
		Entry("was to be closed for a new one", func(listener *callerconn.Listener) {
			other, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(other.Close)
		}),
	)
})

var _ = Describe("A request that was read and has not begun", func() {
	// Guards against connections that are closed, as the daemon stops, over a request that the server has read.
	It("is answered although the daemon stops", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, 8, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		observe := server.ConnState
		server.ConnState = func(conn net.Conn, to http.ConnState) {
			if to == http.StateActive {
				time.Sleep(250 * time.Millisecond) // its thread waits for a processor
			}
			observe(conn, to)
		}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		go listener.Finish(time.Now().Add(5 * time.Second))
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("A caller that sends the head of a request a byte at a time", func() {
	// Guards against callers that hold connections without a request beyond the time for its head.
	It("is closed after the time for the head", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, 8, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		gone := func() bool {
			_, err := io.WriteString(conn, "G")
			time.Sleep(30 * time.Millisecond)
			listener.CloseExpired(time.Now(), callerconn.Timeouts{Header: 300 * time.Millisecond, Idle: time.Minute})
			return err != nil
		}
		Eventually(gone, "3s", "1ms").Should(BeTrue())
	})

	// Guards against callers that keep others out.
	It("makes room for a new connection", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, 1, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		slow, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = slow.Close() }()
		timeouts := callerconn.Timeouts{Header: 10 * time.Second, Idle: time.Minute}
		answered := func() bool {
			listener.CloseExpired(time.Now(), timeouts)
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(slow, "G")
			time.Sleep(20 * time.Millisecond)
			conn, err := net.Dial("tcp", raw.Addr().String())
			if err != nil {
				return false
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, request)
			_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			return err == nil
		}
		Eventually(answered, "4s", "1ms").Should(BeTrue())
	})
})

var _ = Describe("Connections that were accepted beyond the limit", func() {
	// Guards against new connections that are closed over their request as all others have one to be read.
	It("are answered or wait while no other can be closed", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		const most = 16
		held := &heldListener{Listener: raw}
		listener := callerconn.Wrap(held, most, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", raw.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			return conn
		}
		var kept, fresh []net.Conn
		for range most {
			conn := dial()
			_, _ = io.WriteString(conn, request)
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			kept = append(kept, conn)
		}
		held.held.Lock()
		for _, conn := range kept {
			_, _ = io.WriteString(conn, request)
		}
		for range 10 {
			conn := dial()
			_, _ = io.WriteString(conn, request)
			fresh = append(fresh, conn)
		}
		time.Sleep(50 * time.Millisecond)
		held.held.Unlock()
		lost := 0
		for _, conn := range append(kept, fresh...) {
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				lost++
			}
		}
		Expect(lost).To(BeZero())
	})
})
