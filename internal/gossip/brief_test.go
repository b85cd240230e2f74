package gossip

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/demand"
)

var _ = Describe("A direct datagram to a daemon of another data centre", func() {
	// datagramTo returns what a daemon of x sends directly to one of y when it has received digests of
	// data centres some time ago.
	datagramTo := func(peers int, age time.Duration, digests ...string) datagram {
		now := time.Now()
		g := &Gossip{Dependencies: Dependencies{Node: "x0", DataCentre: "x", Logger: slog.New(slog.DiscardHandler)}, peers: map[string]*Peer{}, digests: map[string]*receivedDigest{}, hubInterval: minInterval}
		to := &Peer{Node: "y0", DataCentre: "y"}
		g.peers[to.Node] = to
		for i := 1; i < peers; i++ {
			name := string(rune('a' + i))
			g.peers[name] = &Peer{Node: name, DataCentre: "x", lastSent: now}
		}
		for _, dataCentre := range digests {
			g.digests[dataCentre] = &receivedDigest{Digest: Digest{DataCentre: dataCentre}, madeAt: now.Add(-age)}
		}
		for _, d := range g.datagrams(Message{}, now) {
			if d.to == to {
				return d
			}
		}
		Fail("no datagram to y0")
		return datagram{}
	}

	It("leaves out what the hubs tell it, so that bytes between data centres are not paid twice", func() {
		Expect(datagramTo(20, 0, "x", "y").brief).To(BeTrue())
		full := Message{Loads: map[uint32]Load{1: {Count: 1}}, FailedRequests: []uint32{1}, Suspicions: []Suspicion{{}}, NewGroups: []Suspicion{{}}, Demand: []demand.Report{{}}, Store: true, Config: 7, CutOff: true}
		Expect(full.brief()).To(Equal(Message{Store: true, Config: 7, CutOff: true}))
	})

	It("carries everything when hubs are lost on either side, or in a fleet without hubs", func() {
		Expect(datagramTo(20, 0, "x").brief).To(BeFalse(), "no digest of the receiver's data centre")
		Expect(datagramTo(20, 0, "y").brief).To(BeFalse(), "no digest of the sender's")
		Expect(datagramTo(20, 10*time.Second, "x", "y").brief).To(BeFalse(), "stale digests")
		Expect(datagramTo(4, 0, "x", "y").brief).To(BeFalse(), "too few daemons for hubs")
	})
})
