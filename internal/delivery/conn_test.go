package delivery_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fakes"
)

var _ = Describe("A tracked connection", func() {
	const size = 64 << 10 // bytes, more than the listener takes
	var tracker *delivery.Tracker
	var deaf *fakes.DeafListener
	var undelivered []delivery.Undelivered
	BeforeEach(func() {
		tracker, undelivered = delivery.NewTracker(), nil
		tracker.Report(func(u delivery.Undelivered) { undelivered = append(undelivered, u) })
		var err error
		deaf, err = fakes.NewDeafListener()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(deaf.Close)
	})
	connect := func() net.Conn {
		conn, err := tracker.Dial(delivery.Endpoints, (&net.Dialer{}).DialContext)(context.Background(), "tcp", deaf.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}

	It("tells what has not been acknowledged, and that it was closed over it", func() {
		conn := connect()
		Expect(tracker.Unacknowledged(delivery.Endpoints)).To(BeZero())
		Expect(conn.Write(bytes.Repeat([]byte("x"), size))).To(Equal(size))
		Eventually(func() int { return tracker.Unacknowledged(delivery.Endpoints) }).Should(BeNumerically(">", 0))
		Expect(tracker.Unacknowledged(delivery.Store)).To(BeZero())
		Expect(conn.Close()).To(Succeed())
		Expect(undelivered).To(HaveLen(1))
		Expect(undelivered[0].Address).To(Equal(deaf.Address()))
		Expect(tracker.Unacknowledged(delivery.Endpoints)).To(BeZero())
	})

	// Guards against resets that destroy what the other side has not read yet.
	It("ends as usual once all has been acknowledged", func() {
		conn := connect()
		Expect(conn.Write([]byte("hello"))).To(Equal(5))
		Eventually(func() int { return tracker.Unacknowledged(delivery.Endpoints) }).Should(BeZero())
		Expect(conn.Close()).To(Succeed())
		Expect(undelivered).To(BeEmpty())
		raw, err := deaf.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(raw.Close)
		Expect(io.ReadAll(raw)).To(Equal([]byte("hello")))
	})

	// Guards against bytes that a write adds after the connection was found to have none under way.
	It("withdraws a write that races with the end of the connection", func() {
		for range 200 {
			conn := connect()
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write(bytes.Repeat([]byte("x"), size))
			}()
			_ = conn.Close()
			<-written
			arrived, _ := deaf.ReadNext()
			Expect(arrived).To(BeNumerically("<", size))
		}
	})

	It("withdraws a write that is blocked", func() {
		conn := connect()
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(bytes.Repeat([]byte("x"), 64<<20))
			written <- err
		}()
		Consistently(written, 50*time.Millisecond).ShouldNot(Receive())
		Expect(conn.Close()).To(Succeed())
		Eventually(written).Should(Receive(HaveOccurred()))
		arrived, _ := deaf.ReadNext()
		Expect(arrived).To(BeNumerically("<", size))
	})
})
