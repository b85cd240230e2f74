package peer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Deferrable soft state", func() {
	var nodes []*node

	// With these intervals the periodic checks never run; each spec checks the links itself.
	BeforeEach(func() {
		nodes = startNodes(func(_ int, o *Options) { o.Heartbeat, o.MaxWait = time.Hour, time.Hour }, "north", "north", "north")
		awaitMesh(nodes)
	})

	It("is queued and then sent in one message per link", func() {
		before := nodes[0].counters.sentMessages.Get()
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "first")
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "second")
		nodes[0].checkLinks(time.Now())
		Consistently(nodes[1].received, 2*testHeartbeat).Should(BeEmpty())
		nodes[0].checkLinks(time.Now().Add(time.Hour))
		for _, n := range nodes[1:] {
			Eventually(n.received, eventuallyTimeout, pollInterval).Should(Equal([]string{"north-0 first", "north-0 second"}))
		}
		Expect(nodes[0].counters.sentMessages.Get() - before).To(Equal(uint64(2)))
	})

	It("is sent along with an immediate publication", func() {
		before := nodes[0].counters.sentMessages.Get()
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "may wait")
		nodes[0].Publish(testTopic, ScopeDataCentre, "urgent")
		for _, n := range nodes[1:] {
			Eventually(n.received, eventuallyTimeout, pollInterval).Should(Equal([]string{"north-0 may wait", "north-0 urgent"}))
		}
		Expect(nodes[0].counters.sentMessages.Get() - before).To(Equal(uint64(2)))
	})

	It("is sent along with a call", func() {
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "may wait")
		var reply string
		Expect(nodes[0].Call(context.Background(), "north-1", "echo", "x", &reply)).To(Succeed())
		Expect(nodes[1].received()).To(Equal([]string{"north-0 may wait"}))
		Expect(nodes[2].received()).To(BeEmpty())
	})

	It("drops and counts the oldest frames when the queue overflows", func() {
		const overflow = 3
		for range softQueueFrames + overflow {
			nodes[0].PublishSoon(testTopic, ScopeDataCentre, "may wait")
		}
		nodes[0].checkLinks(time.Now().Add(time.Hour))
		for _, n := range nodes[1:] {
			Eventually(n.received, eventuallyTimeout, pollInterval).Should(HaveLen(softQueueFrames))
		}
		dropped := nodes[0].options.Metrics.Counter(`plantainmux_peer_dropped_total{topic="test"}`)
		Expect(dropped.Get()).To(Equal(uint64(overflow * 2)))
	})
})

var _ = Describe("Heartbeats", func() {
	It("are sent only on links that are otherwise idle", func() {
		nodes := startNodes(func(_ int, o *Options) { o.Heartbeat, o.MaxWait = time.Hour, time.Hour }, "north", "north")
		awaitMesh(nodes)
		before := nodes[0].counters.sentMessages.Get()
		nodes[0].checkLinks(time.Now())
		Consistently(nodes[0].counters.sentMessages.Get, testHeartbeat).Should(Equal(before))
		for _, l := range nodes[0].routing.Load().local {
			l.lastSent.Store(time.Now().Add(-time.Hour).UnixNano())
		}
		nodes[0].checkLinks(time.Now())
		Eventually(nodes[0].counters.sentMessages.Get, eventuallyTimeout, pollInterval).Should(Equal(before + 1))
	})
})
