package peer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A link of a daemon whose process stands still", func() {
	var n *Network
	var l *link
	now := time.Now()
	BeforeEach(func() {
		var err error
		n, err = NewNetwork(Options{Self: "north-0", DataCentre: "north", Heartbeat: testHeartbeat})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(n.Close)
		l = &link{network: n, queue: newSendQueue()}
		l.ctx, l.cancel = context.WithCancelCause(n.ctx)
		n.running[l] = true
		l.lastReceived.Store(now.UnixNano())
		l.lastSent.Store(now.UnixNano())
		n.checkLinks(now)
	})
	// check looks at the link after each of the pauses, and reports whether it is open.
	check := func(pauses ...time.Duration) bool {
		at := now
		for _, pause := range pauses {
			at = at.Add(pause)
			n.checkLinks(at)
		}
		return l.ctx.Err() == nil
	}
	period := func(count int) (pauses []time.Duration) {
		for range count {
			pauses = append(pauses, n.options.checkPeriod())
		}
		return pauses
	}

	// Guards against links that are closed on waking, with calls and streams, over frames that wait unread.
	It("is kept on waking, before what arrived has been read", func() {
		Expect(check(5 * time.Second)).To(BeTrue())
	})

	It("is kept on waking while a write has been in progress", func() {
		l.writingSince.Store(now.UnixNano())
		Expect(check(5 * time.Second)).To(BeTrue())
	})

	It("is closed once the process has run for the silence timeout without a frame", func() {
		needed := int(n.options.silenceTimeout()/n.options.checkPeriod()) + 1
		Expect(check(append(period(needed/2), 5*time.Second)...)).To(BeTrue())
		Expect(check(append(append(period(needed/2), 5*time.Second), period(needed)...)...)).To(BeFalse())
		Expect(context.Cause(l.ctx)).To(BeAssignableToTypeOf(&SilentError{}))
	})
})
