package peer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Soft state that may wait", func() {
	var nodes []*node

	// Nothing goes by itself: the links are looked at when a spec does it.
	BeforeEach(func() {
		nodes = startNodes(func(_ int, o *Options) { o.Heartbeat, o.MaxWait = time.Hour, time.Hour }, "north", "north", "north")
		awaitMesh(nodes)
	})

	It("waits, and then goes in one message on each link", func() {
		before := nodes[0].counters.sentMessages.Get()
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "first")
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "second")
		nodes[0].lookAtLinks(time.Now())
		Consistently(nodes[1].received, 2*testHeartbeat).Should(BeEmpty())
		nodes[0].lookAtLinks(time.Now().Add(time.Hour))
		for _, n := range nodes[1:] {
			Eventually(n.received, waitLong, pollOften).Should(Equal([]string{"north-0 first", "north-0 second"}))
		}
		Expect(nodes[0].counters.sentMessages.Get() - before).To(Equal(uint64(2)))
	})

	It("goes with what is urgent, which does not wait", func() {
		before := nodes[0].counters.sentMessages.Get()
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "may wait")
		nodes[0].Publish(testTopic, ScopeDataCentre, "urgent")
		for _, n := range nodes[1:] {
			Eventually(n.received, waitLong, pollOften).Should(Equal([]string{"north-0 may wait", "north-0 urgent"}))
		}
		Expect(nodes[0].counters.sentMessages.Get() - before).To(Equal(uint64(2)))
	})

	It("goes with a call, which does not wait", func() {
		nodes[0].PublishSoon(testTopic, ScopeDataCentre, "may wait")
		var reply string
		Expect(nodes[0].Call(context.Background(), "north-1", "echo", "x", &reply)).To(Succeed())
		Expect(nodes[1].received()).To(Equal([]string{"north-0 may wait"}))
		Expect(nodes[2].received()).To(BeEmpty())
	})

	It("drops its oldest when too much waits, and counts it", func() {
		const extra = 3
		for range softQueueFrames + extra {
			nodes[0].PublishSoon(testTopic, ScopeDataCentre, "may wait")
		}
		nodes[0].lookAtLinks(time.Now().Add(time.Hour))
		for _, n := range nodes[1:] {
			Eventually(n.received, waitLong, pollOften).Should(HaveLen(softQueueFrames))
		}
		dropped := nodes[0].options.Metrics.Counter(`plantainmux_peer_dropped_total{topic="test"}`)
		Expect(dropped.Get()).To(Equal(uint64(extra * 2)))
	})
})

var _ = Describe("Heartbeats", func() {
	It("go only on links on which nothing else goes", func() {
		nodes := startNodes(func(_ int, o *Options) { o.Heartbeat, o.MaxWait = time.Hour, time.Hour }, "north", "north")
		awaitMesh(nodes)
		before := nodes[0].counters.sentMessages.Get()
		nodes[0].lookAtLinks(time.Now())
		Consistently(nodes[0].counters.sentMessages.Get, testHeartbeat).Should(Equal(before))
		for _, l := range nodes[0].routing.Load().local {
			l.lastSent.Store(time.Now().Add(-time.Hour).UnixNano())
		}
		nodes[0].lookAtLinks(time.Now())
		Eventually(nodes[0].counters.sentMessages.Get, waitLong, pollOften).Should(Equal(before + 1))
	})
})
