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

const (
	limit   = 8
	request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
)

var _ = Describe("A listener for callers", func() {
	var listener *callerconn.Listener
	var server *http.Server
	var proceed chan struct{} // closed: requests are answered at once
	var left, stayed atomic.Int64

	serve := func() {
		go func() { _ = server.Serve(listener) }()
	}
	BeforeEach(func() {
		left.Store(0)
		stayed.Store(0)
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener = callerconn.Wrap(raw, limit, slog.New(slog.NewJSONHandler(GinkgoWriter, nil)))
		proceed = make(chan struct{})
		released := proceed
		next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if callerconn.Left(r.Context()) {
				left.Add(1)
				return
			}
			stayed.Add(1)
			select {
			case <-released:
			case <-r.Context().Done():
			}
		})
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		server = &http.Server{Handler: listener.Handler(next, refuse)}
		listener.Attach(server)
		DeferCleanup(server.Close)
	})
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	send := func(conn net.Conn) {
		_, err := io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
	}
	status := func(conn net.Conn) int {
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		_ = answer.Body.Close()
		return answer.StatusCode
	}

	// Guards against connections without a request that keep others from being accepted.
	It("accepts and serves new connections however many others are open without a request", func() {
		close(proceed)
		serve()
		kept := connect()
		send(kept)
		Expect(status(kept)).To(Equal(http.StatusOK))
		for range 10 * limit {
			connect()
		}
		for range 3 * limit {
			conn := connect()
			send(conn)
			Expect(status(conn)).To(Equal(http.StatusOK))
			Expect(conn.Close()).To(Succeed())
			Expect(listener.Full()).To(BeFalse())
		}
	})

	It("displaces connections that have brought no request in time before those that callers come back on", func() {
		close(proceed)
		serve()
		kept := connect()
		send(kept)
		Expect(status(kept)).To(Equal(http.StatusOK))
		for range limit - 1 {
			connect()
		}
		time.Sleep(1100 * time.Millisecond)
		for range limit - 1 {
			conn := connect()
			send(conn)
			Expect(status(conn)).To(Equal(http.StatusOK))
		}
		send(kept)
		Expect(status(kept)).To(Equal(http.StatusOK))
	})

	// Guards against a request in progress whose connection is closed for a new one.
	It("keeps connections with a request in progress, and has requests beyond the limit refused", func() {
		serve()
		busy := make([]net.Conn, limit)
		for i := range busy {
			busy[i] = connect()
			send(busy[i])
		}
		Eventually(listener.Full).Should(BeTrue())
		beyond := connect()
		send(beyond)
		Expect(status(beyond)).To(Equal(http.StatusServiceUnavailable))
		close(proceed)
		for _, conn := range busy {
			Expect(status(conn)).To(Equal(http.StatusOK))
		}
		Eventually(listener.Full).Should(BeFalse()) // answers arrive before their connections count as idle
		again := connect()
		send(again)
		Expect(status(again)).To(Equal(http.StatusOK))
	})

	// Guards against callers that have left and still take places.
	It("frees the place of a connection whose caller leaves while its request is in progress", func() {
		serve()
		callers := make([]net.Conn, limit)
		for i := range callers {
			callers[i] = connect()
			send(callers[i])
		}
		Eventually(listener.Full).Should(BeTrue())
		Expect(callers[0].Close()).To(Succeed())
		Eventually(listener.Full).Should(BeFalse())
		close(proceed)
	})

	It("tells the caller of a body that is not read at once that its connection ends", func() {
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
		})
		serve()
		conn := connect()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		began := time.Now()
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond), "the server waits 500 ms before it closes")
	})

	// Guards against requests that are handled though their callers left before they were read.
	It("tells for each request that waited unread whether its caller has left", func() {
		close(proceed)
		for range limit {
			conn := connect()
			send(conn)
			Expect(conn.Close()).To(Succeed())
		}
		serve()
		Eventually(func() int64 { return left.Load() + stayed.Load() }).Should(BeEquivalentTo(limit))
		Expect(stayed.Load()).To(BeZero())
		conn := connect()
		send(conn)
		Expect(status(conn)).To(Equal(http.StatusOK))
		Expect(stayed.Load()).To(BeEquivalentTo(1))
	})
})
