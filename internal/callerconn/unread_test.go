package callerconn_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

// heldListener accepts connections from which nothing is read while they are held, as by a process that stands still.
type heldListener struct {
	net.Listener
	held sync.RWMutex
	late sync.RWMutex // held: bytes are read, but the reader does not go on
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
	deadline atomic.Int64 // of reads, in Unix nanoseconds; 0: none
}

// SetReadDeadline implements net.Conn.
func (c *heldConn) SetReadDeadline(at time.Time) error {
	if at.IsZero() {
		c.deadline.Store(0)
	} else {
		c.deadline.Store(at.UnixNano())
	}
	return nil
}

// Read implements net.Conn.
func (c *heldConn) Read(into []byte) (int, error) {
	for {
		if deadline := c.deadline.Load(); deadline != 0 && time.Now().UnixNano() > deadline {
			return 0, os.ErrDeadlineExceeded
		}
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(time.Millisecond))
		c.listener.held.RLock()
		n, err := c.TCPConn.Read(into)
		c.listener.held.RUnlock()
		c.listener.late.RLock()
		timeout, ok := err.(net.Error)
		c.listener.late.RUnlock()
		if n > 0 || !ok || !timeout.Timeout() {
			return n, err
		}
	}
}

var _ = Describe("A request that has arrived and was not read", func() {
	unread := func(l *heldListener) *sync.RWMutex { return &l.held }
	beingRead := func(l *heldListener) *sync.RWMutex { return &l.late }
	expires := func(listener *callerconn.Listener) {
		listener.CloseExpired(time.Now().Add(time.Hour), callerconn.Timeouts{Header: time.Second, Idle: time.Second})
	}
	makesRoom := func(listener *callerconn.Listener) {
		other, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		time.Sleep(100 * time.Millisecond)
	}
	finishes := func(listener *callerconn.Listener) {
		finished := make(chan int, 1)
		go func() { finished <- listener.Finish(time.Now().Add(5 * time.Second)) }()
		Consistently(finished, "300ms").ShouldNot(Receive())
	}

	// Guards against connections that are closed, on waking, over a request of their caller.
	DescribeTable("is answered although its connection", func(hold func(*heldListener) *sync.RWMutex, act func(listener *callerconn.Listener)) {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		held := &heldListener{Listener: raw}
		listener := callerconn.Wrap(held, 1, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		place := func() {
			_, err := io.WriteString(conn, request)
			Expect(err).NotTo(HaveOccurred())
		}
		place()
		_, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(listener.Full).Should(BeFalse())
		lock := hold(held)
		lock.Lock()
		place()
		time.Sleep(20 * time.Millisecond) // on its way through the kernel
		act(listener)
		lock.Unlock()
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("has exceeded a timeout", unread, expires),
		Entry("was to be closed for a new one", unread, makesRoom),
		Entry("is closed as the daemon stops", unread, finishes),
		Entry("has exceeded a timeout while it is read", beingRead, expires),
		Entry("was to be closed for a new one while it is read", beingRead, makesRoom),
		Entry("is closed as the daemon stops while it is read", beingRead, finishes),
	)

	// Guards against a connection that is closed between the read of a request and its beginning, as the daemon stops.
	It("is answered when it is read at any moment before its connection is closed", func() {
		const requests = 100
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, requests, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		observe := server.ConnState
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive {
				time.Sleep(10 * time.Millisecond) // the request is read and has not begun
			}
			observe(conn, state)
		}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conns := make([]net.Conn, requests)
		for i := range conns {
			conns[i], err = net.Dial("tcp", raw.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conns[i].Close)
		}
		var callers sync.WaitGroup
		for i, conn := range conns {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				_, _ = io.WriteString(conn, request)
			})
		}
		Expect(listener.Finish(time.Now().Add(5 * time.Second))).To(BeZero())
		callers.Wait()
		gauges := map[string]func() float64{}
		listener.Register("", func(name string, value func() float64) { gauges[name] = value })
		Expect(gauges["plantainmux_caller_connections_aborted_total"]()).To(BeZero())
	})

	It("does not keep a daemon that stops beyond its time", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		held := &heldListener{Listener: raw}
		held.held.Lock()
		listener := callerconn.Wrap(held, 1, slog.New(slog.DiscardHandler))
		server := &http.Server{Handler: http.NotFoundHandler()}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(func() { held.held.Unlock(); _ = server.Close() })
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		gauges := map[string]func() float64{}
		listener.Register("", func(name string, value func() float64) { gauges[name] = value })
		Eventually(gauges["plantainmux_caller_connections"]).Should(BeEquivalentTo(1)) // the system accepts it a little later than the caller
		began := time.Now()
		Expect(listener.Finish(began.Add(300 * time.Millisecond))).To(Equal(1))
		Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond), "the margin before the platform kills a process")
	})
})
