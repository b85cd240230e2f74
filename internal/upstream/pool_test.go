package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/upstream"
)

// raw listens and answers each request of each connection with the next text. An
// empty text closes the connection.
type raw struct {
	listener net.Listener
	answers  chan string
	conns    atomic.Int32
	closed   chan struct{} // told of each connection that the other side ended
	cuts     bool          // each connection ends after one answer
}

func newRaw(answers ...string) *raw {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &raw{listener: listener, answers: make(chan string, len(answers)), closed: make(chan struct{}, 8)}
	for _, answer := range answers {
		r.answers <- answer
	}
	go r.accept()
	DeferCleanup(listener.Close)
	return r
}

func (r *raw) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.conns.Add(1)
		go r.serve(conn)
	}
}

func (r *raw) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			r.closed <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := <-r.answers
		if answer == "" {
			return
		}
		_, _ = io.WriteString(conn, answer)
		if r.cuts {
			return
		}
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("A pool", func() {
	ctx := context.Background()
	pool := func() *upstream.Pool { return upstream.NewPool(time.Second) }
	head := upstream.Head{Method: http.MethodPost, Target: "/a//b?c=%20d", Host: "h", Header: http.Header{"X": {"y"}}}
	get := func(p *upstream.Pool, r *raw, fresh bool) (string, error) {
		answer, err := p.Send(ctx, r.listener.Addr().String(), head, []byte("body"), fresh)
		if err != nil {
			return "", err
		}
		defer func() { _ = answer.Close() }()
		data, err := io.ReadAll(answer)
		return string(data), err
	}

	It("uses a connection again, unless a new one is asked for", func() {
		r, p := newRaw(whole, whole, whole), pool()
		for _, fresh := range []bool{false, false, true} {
			body, err := get(p, r, fresh)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
		}
		Expect(r.conns.Load()).To(Equal(int32(2)))
	})

	It("gives no connection to another request on which bytes are left", func() {
		r, p := newRaw(whole+whole, whole), pool()
		_, err := get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		_, err = get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.conns.Load()).To(Equal(int32(2)))
	})

	It("finds out that an idle connection has ended before it sends", func() {
		r, p := newRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n", whole), pool()
		_, err := get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
		p.Sweep(time.Now().Add(time.Hour))
		Eventually(r.closed).Should(Receive())
		_, err = get(p, r, false)
		Expect(err).NotTo(HaveOccurred())
	})

	It("tells a request that was never sent from one that may have run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = pool().Send(ctx, address, head, nil, false)
		var notConnected *upstream.ConnectError
		Expect(errors.As(err, &notConnected)).To(BeTrue())

		_, err = get(pool(), newRaw(""), false)
		var broke *upstream.ExchangeError
		Expect(errors.As(err, &broke)).To(BeTrue())
	})

	It("does not take a body that is cut off for a whole one", func() {
		for _, cut := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		} {
			r := newRaw(cut)
			r.cuts = true
			_, err := get(pool(), r, false)
			Expect(err).To(HaveOccurred())
		}
	})

	It("ends the exchange when the context ends, also amid the body", func() {
		r := newRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		limited, cancel := context.WithCancel(ctx)
		answer, err := pool().Send(limited, r.listener.Addr().String(), head, nil, false)
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err = io.ReadAll(answer)
		Expect(err).To(HaveOccurred())
		Eventually(r.closed).Should(Receive())
	})
})
