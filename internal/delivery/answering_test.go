package delivery_test

import (
	"bytes"
	"context"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fakes"
)

// Guards against answers that are cut since their endpoint leaves and has not read the rest of a long body.
var _ = Describe("A connection to an endpoint that leaves", func() {
	const size = 64 << 10 // bytes, more than the listener takes
	const looks = 20
	var tracker *delivery.Tracker
	var conn, endpoint net.Conn
	BeforeEach(func() {
		tracker = delivery.NewTracker()
		deaf, err := fakes.NewDeafListener()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(deaf.Close)
		conn, err = tracker.Dial(delivery.Endpoints, (&net.Dialer{}).DialContext)(context.Background(), "tcp", deaf.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		endpoint, err = deaf.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(endpoint.Close)
		Expect(conn.Write(bytes.Repeat([]byte("x"), size))).To(Equal(size))
	})
	withdraw := func() (withdrawn int) {
		for range looks {
			withdrawn += tracker.WithdrawStalled(delivery.Endpoints, func(string) bool { return true })
		}
		return withdrawn
	}
	answer := func(text string) {
		Expect(endpoint.Write([]byte(text))).To(Equal(len(text)))
		Expect(io.ReadFull(conn, make([]byte, len(text)))).To(Equal(len(text)))
	}

	It("is not withdrawn while it answers before it has read all of the request", func() {
		answer("HTTP/1.1 200 OK\r\n\r\n")
		Expect(withdraw()).To(BeZero())
		answer("the rest")
	})

	// Guards against answers that wait unread, as those of a process that writes still or stood still, and are taken for none.
	It("is not withdrawn over an answer that has not been read", func() {
		_, err := io.WriteString(endpoint, "HTTP/1.1 200 OK\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(withdraw()).To(BeZero())
	})

	It("is withdrawn over a request that follows an answer", func() {
		answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		Expect(conn.Write([]byte("the next request"))).To(Equal(16))
		Expect(withdraw()).To(Equal(1))
	})
})
