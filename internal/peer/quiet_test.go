package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A link without calls, of a daemon that stood still", func() {
	const readAfter = 10 * time.Millisecond // from waking until a call that waits in the link is read
	var n *Network
	var l *link
	BeforeEach(func() {
		var err error
		n, err = NewNetwork(Options{Self: "north-0", DataCentre: "north", Heartbeat: testHeartbeat})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(n.Close)
		l = &link{network: n, queue: newSendQueue(), outgoing: newOutgoingTable(), incoming: newIncomingTable()}
		l.ctx, l.cancel = context.WithCancelCause(n.ctx)
		n.running[l] = true
	})
	// standStill holds up the task that looks at the links, from a time after its start on, and then reads a call.
	standStill := func(held sync.Locker, after time.Duration) {
		time.Sleep(after)
		held.Lock()
		time.Sleep(3 * testHeartbeat)
		held.Unlock()
		time.Sleep(readAfter)
		_, ok := l.incoming.begin(l.ctx, 1)
		Expect(ok).To(BeTrue())
	}

	// Guards against calls that are dropped on waking, unread, by a daemon that leaves.
	It("is drained only once what waits in it has been read and answered", func() {
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			n.Drain(context.Background())
		}()
		standStill(&n.mu, testHeartbeat/2)
		Consistently(drained, 2*testHeartbeat, pollInterval).ShouldNot(BeClosed())
		l.incoming.end(1)
		Eventually(drained, eventuallyTimeout, pollInterval).Should(BeClosed())
	})

	// Guards against calls that are dropped on waking, unread, by a link that another one replaces.
	It("is retired only once what waits in it has been read and answered", func() {
		retired := errors.New("retired")
		go l.retire(retired)
		standStill(&l.incoming.mu, 3*testHeartbeat/2)
		Consistently(l.ctx.Err, 3*testHeartbeat, pollInterval).Should(Succeed())
		l.incoming.end(1)
		Eventually(l.ctx.Done(), eventuallyTimeout, pollInterval).Should(BeClosed())
		Expect(context.Cause(l.ctx)).To(Equal(retired))
	})
})
