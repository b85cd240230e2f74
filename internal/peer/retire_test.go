package peer

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A leaving relay", func() {
	It("is replaced, and keeps its link until the stream on it has ended", func() {
		nodes := startNodes(nil, "east", "east", "east", "west", "west")
		var sent atomic.Int64
		stopped := make(chan struct{})
		for _, n := range nodes[3:] {
			n.openHandlers["endless"] = endless(&sent, stopped)
		}
		awaitMesh(nodes)
		var relay, spare *node
		for _, n := range nodes[:3] {
			if len(n.routing.Load().directLinks("west")) == 0 {
				spare = n
			} else if relay == nil {
				relay = n
			}
		}
		stream, err := relay.Open(context.Background(), "west", "endless", nil)
		Expect(err).NotTo(HaveOccurred())
		relay.Leave()
		Eventually(func() int { return len(spare.routing.Load().directLinks("west")) }, eventuallyTimeout, pollInterval).Should(Equal(1))
		time.Sleep(3 * relayRetireDelayHeartbeats * testHeartbeat)
		for range 3 * streamWindow {
			Expect(stream.Next(new(int))).To(Succeed())
		}
		Expect(relay.westLinks()).To(Equal(1))
		Expect(stream.Close()).To(Succeed())
		Eventually(stopped, eventuallyTimeout).Should(BeClosed())
		Eventually(relay.westLinks, eventuallyTimeout, pollInterval).Should(BeZero())
	})
})

// westLinks returns how many links to the data centre west are open.
func (n *node) westLinks() int {
	n.Network.mu.Lock()
	defer n.Network.mu.Unlock()
	count := 0
	for l := range n.running {
		if l.remote.DataCentre == "west" {
			count++
		}
	}
	return count
}
