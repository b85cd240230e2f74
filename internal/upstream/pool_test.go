package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/upstream"
)

// rawServer answers each request with the next of answers, written to the connection
// unchanged. An empty answer closes the connection.
type rawServer struct {
	listener         net.Listener
	answers          chan string
	conns            atomic.Int32
	ended            chan struct{} // receives a value for each connection that the client closed
	closeAfterAnswer bool          // close each connection after one answer
	reset            bool          // by a reset
	endless          string        // repeated after an answer until the client closes
	written          atomic.Int64  // bytes of that
	piece            int           // bytes of an answer that are written at once; 0: all
	late             string        // written lateAfter an answer
}

const (
	connectTimeout = 100 * time.Millisecond
	lateAfter      = 10 * time.Millisecond
	piecePause     = time.Millisecond
)

func newRawServer(answers ...string) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &rawServer{listener: listener, answers: make(chan string, len(answers)), ended: make(chan struct{}, 8)}
	for _, answer := range answers {
		r.answers <- answer
	}
	go r.accept()
	DeferCleanup(listener.Close)
	return r
}

func (r *rawServer) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.conns.Add(1)
		go r.serve(conn)
	}
}

func (r *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			r.ended <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := <-r.answers
		if answer == "" {
			return
		}
		for r.piece > 0 && len(answer) > r.piece {
			_, _ = io.WriteString(conn, answer[:r.piece])
			answer = answer[r.piece:]
			time.Sleep(piecePause)
		}
		_, _ = io.WriteString(conn, answer)
		if r.late != "" {
			time.Sleep(lateAfter)
			_, _ = io.WriteString(conn, r.late)
		}
		for r.endless != "" {
			n, err := io.WriteString(conn, strings.Repeat(r.endless, 1024))
			r.written.Add(int64(n))
			if err != nil {
				return
			}
		}
		if r.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if r.closeAfterAnswer {
			return
		}
	}
}

const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("A pool", func() {
	ctx := context.Background()
	pool := func() *upstream.Pool { return upstream.NewPool(time.Second) }
	head := upstream.Head{Method: http.MethodPost, Target: "/a//b?c=%20d", Host: "h", Header: http.Header{"X": {"y"}}}
	get := func(p *upstream.Pool, r *rawServer, fresh bool) (string, error) {
		answer, err := p.Send(ctx, r.listener.Addr().String(), head, []byte("body"), fresh)
		if err != nil {
			return "", err
		}
		defer func() { _ = answer.Close() }()
		data, err := io.ReadAll(answer)
		return string(data), err
	}

	It("reuses a connection unless a fresh one is requested", func() {
		r, p := newRawServer(complete, complete, complete), pool()
		for _, fresh := range []bool{false, false, true} {
			body, err := get(p, r, fresh)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
		}
		Expect(r.conns.Load()).To(Equal(int32(2)))
	})

	It("does not reuse a connection that has unread bytes", func() {
		r, p := newRawServer(complete+complete, complete), pool()
		_, err := get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		_, err = get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.conns.Load()).To(Equal(int32(2)))
	})

	It("detects a closed idle connection before it sends", func() {
		r, p := newRawServer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n", complete), pool()
		_, err := get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		p.Sweep(time.Now().Add(time.Hour))
		Eventually(r.ended).Should(Receive())
		_, err = get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
	})

	It("distinguishes a request that was never sent from one that may have run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = pool().Send(ctx, address, head, nil, false)
		var connectError *upstream.ConnectError
		Expect(errors.As(err, &connectError)).To(BeTrue())

		_, err = get(pool(), newRawServer(""), false)
		var exchangeError *upstream.ExchangeError
		Expect(errors.As(err, &exchangeError)).To(BeTrue())
	})

	It("returns an error for a truncated body", func() {
		for _, truncated := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		} {
			r := newRawServer(truncated)
			r.closeAfterAnswer = true
			_, err := get(pool(), r, false)
			Expect(err).To(HaveOccurred())
		}
	})

	It("takes the end of the connection for the end of an answer without length or chunks, and never reuses it", func() {
		r, p := newRawServer("HTTP/1.1 200 OK\r\n\r\nall of it", complete), pool()
		r.closeAfterAnswer = true
		body, err := get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("all of it"))
		_, err = get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.conns.Load()).To(Equal(int32(2)))
	})

	It("returns an error for an answer without length or chunks whose connection is reset", func() {
		r := newRawServer("HTTP/1.1 200 OK\r\n\r\na part")
		r.closeAfterAnswer, r.reset = true, true
		_, err := get(pool(), r, false)
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("gives up a head that does not end, without keeping it", func(begin, repeat string) {
		r := newRawServer(begin)
		r.endless = repeat
		started := time.Now()
		_, err := get(pool(), r, false)
		var tooLarge *upstream.HeadTooLargeError
		Expect(errors.As(err, &tooLarge)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		Expect(r.written.Load()).To(BeNumerically("<", 16<<20), "what fits into the buffers of a connection")
	},
		Entry("one header without end", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"),
		Entry("headers without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("no answer at all", "xxxxxxxx", "xxxxxxxxxxxxxxxx"),
	)

	It("closes the connection when the context ends while the body is read", func() {
		r := newRawServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		limited, cancel := context.WithCancel(ctx)
		answer, err := pool().Send(limited, r.listener.Addr().String(), head, nil, false)
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err = io.ReadAll(answer)
		Expect(err).To(HaveOccurred())
		Eventually(r.ended).Should(Receive())
	})

	// Guards against requests that are sent on a kept connection though their callers have left.
	It("sends nothing once the context has ended", func() {
		for range 50 {
			r, p := newRawServer(complete, complete), pool()
			_, err := get(p, r, false)
			Expect(err).NotTo(HaveOccurred())
			ended, cancel := context.WithCancel(ctx)
			cancel()
			_, err = p.Send(ended, r.listener.Addr().String(), head, []byte("body"), false)
			var notSent *upstream.ConnectError
			Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
			Consistently(r.answers, "5ms").Should(HaveLen(1), "an answer is taken for each request that arrives")
		}
	})

	// Guards against endpoints that count as not reached since the process stood still while it connected.
	It("uses a connection that was made by the time at which connecting is found to have taken too long", func() {
		server := newRawServer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		slow := upstream.NewPool(connectTimeout).Through(func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(connectTimeout + 5*time.Millisecond)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		})
		answer, err := slow.Send(context.Background(), server.listener.Addr().String(), upstream.Head{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, nil, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Close()).To(Succeed())
	})

	It("gives up connecting soon after its timeout", func() {
		began := time.Now()
		deaf := upstream.NewPool(connectTimeout).Through(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		_, err := deaf.Send(context.Background(), "127.0.0.1:1", upstream.Head{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, nil, false)
		var notConnected *upstream.ConnectError
		Expect(errors.As(err, &notConnected)).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", connectTimeout+200*time.Millisecond))
	})
})
