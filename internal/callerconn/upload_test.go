package callerconn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

var _ = Describe("Requests that do not arrive whole, on all connections that callers may have", func() {
	var listener *callerconn.Listener
	var gauges map[string]func() float64
	begin := func(path string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nninebytes", path)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	status := func(conn net.Conn) int {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		return answer.StatusCode
	}
	ask := func() int {
		conn := begin("/read")
		_, _ = io.WriteString(conn, "x")
		defer func() { _ = conn.Close() }()
		return status(conn)
	}
	BeforeEach(func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener = callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		gauges = map[string]func() float64{}
		listener.Register("", func(name string, value func() float64) { gauges[name] = value })
		next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/denied" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			body := callerconn.TimedBody(w, r.Body, time.Now().Add(time.Minute))
			switch _, err := io.ReadAll(body); {
			case errors.Is(err, os.ErrDeadlineExceeded):
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestTimeout)
				return
			case err != nil:
				panic(http.ErrAbortHandler)
			}
			callerconn.Received(r.Context())
			if r.URL.Path == "/work" {
				<-r.Context().Done()
			}
		})
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		server := &http.Server{Handler: listener.Handler(next, refuse)}
		listener.Attach(server)
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(listener) }()
	})

	// Guards against clients that stop short of the end of their bodies and keep a daemon from serving any others.
	It("make room after a second, and get an answer that says that they did not run", func() {
		var stalled []net.Conn
		for i := range limit {
			stalled = append(stalled, begin("/read"))
			Eventually(gauges["plantainmux_caller_connections_in_progress"]).Should(BeEquivalentTo(i + 1)) // they begin in this order
		}
		Eventually(listener.Full).Should(BeTrue())
		Expect(ask()).To(Equal(http.StatusServiceUnavailable))
		Eventually(listener.Full, "3s").Should(BeFalse(), "as some would make room")
		Expect(ask()).To(Equal(http.StatusOK))
		Expect(status(stalled[0])).To(Equal(http.StatusRequestTimeout), "the one that began first")
		_, err := io.WriteString(stalled[limit-1], "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(status(stalled[limit-1])).To(Equal(http.StatusOK), "one that goes on")
	})

	// Guards against requests in progress that are ended for others.
	It("make no room once they have been read", func() {
		for range limit {
			_, err := io.WriteString(begin("/work"), "x")
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(listener.Full).Should(BeTrue())
		Consistently(listener.Full, "1200ms").Should(BeTrue())
		Expect(ask()).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against refused requests whose rest is waited for while others find no place.
	It("make room at once if they are answered already", func() {
		for range limit {
			begin("/denied")
		}
		Eventually(ask, "900ms", "20ms").Should(Equal(http.StatusOK))
	})
})

var _ = Describe("The write of an answer", func() {
	var listener *callerconn.Listener
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text)
		return conn
	}
	BeforeEach(func() {
		raw, err := callerconn.Listen("127.0.0.1:0", 8<<10)
		Expect(err).NotTo(HaveOccurred())
		listener = callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		listener.LimitWrites(300 * time.Millisecond)
		next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
		server := &http.Server{Handler: listener.Handler(next, next)}
		listener.Attach(server)
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(listener) }()
	})

	// Guards against an answer that is lost since the rest of a body was waited for before it was written.
	It("is limited from its own beginning", func() {
		conn := dial("POST /denied HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n")
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusNotFound))
	})

	// Guards against callers that send requests ahead, read no answers and keep their connections for ever.
	It("does not wait for ever for a caller that reads nothing", func() {
		for range limit {
			conn := dial("")
			go func() { // until it is cut off
				for {
					if _, err := io.WriteString(conn, request); err != nil {
						return
					}
				}
			}()
		}
		Eventually(listener.Full, "5s", "1ms").Should(BeTrue())
		Eventually(listener.Full, "5s").Should(BeFalse())
	})
})
