package gateway

import (
	"bytes"
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fakes"
)

var _ = Describe("A daemon that closes its links as it stops", func() {
	const size = 64 << 10 // bytes, more than the other daemon's system takes
	// Guards against last frames of answers for other daemons that are withdrawn with the links.
	It("waits until what it has written has arrived, for a time", func() {
		deaf, err := fakes.NewDeafListener()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(deaf.Close)
		g := &Gateway{adapters: Adapters{Delivery: delivery.NewTracker()}}
		write := func() {
			conn, err := g.adapters.Delivery.Dial(delivery.Daemons, (&net.Dialer{}).DialContext)(context.Background(), "tcp", deaf.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() })
			Expect(conn.Write(bytes.Repeat([]byte("x"), size))).To(Equal(size))
		}

		write()
		time.AfterFunc(50*time.Millisecond, func() { _, _ = deaf.ReadNext() })
		g.awaitDelivered(time.Now().Add(time.Minute))
		Expect(g.adapters.Delivery.Unacknowledged(delivery.Daemons)).To(BeZero())

		write()
		began := time.Now()
		g.awaitDelivered(time.Now().Add(time.Minute))
		Expect(g.adapters.Delivery.Unacknowledged(delivery.Daemons)).To(BeNumerically(">", 0))
		Expect(time.Since(began)).To(BeNumerically("<", stopMargin), "the margin before the platform kills a process")
	})
})
