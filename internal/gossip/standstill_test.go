package gossip

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
)

var _ = Describe("A daemon whose process stood still", func() {
	now := time.Now()
	const standstill = 5 * time.Second
	// heard returns a daemon of x that has just heard all of its data centre.
	heard := func(peers int) *Gossip {
		g := &Gossip{
			Dependencies: Dependencies{Node: "x0", DataCentre: "x", Logger: slog.New(slog.DiscardHandler)},
			peers:        map[string]*Peer{}, byHash: map[uint32]*Peer{}, digests: map[string]*receivedDigest{},
			standstills: awake.Standstills{Interval: minInterval}, hubInterval: minInterval,
		}
		for i := range peers {
			name := fmt.Sprintf("x%d", i+1)
			g.peers[name] = &Peer{Node: name, DataCentre: "x", lastSeen: now, lastReceived: now, reachesStore: true, message: Message{Loads: map[uint32]Load{1: {Count: 1}}}}
		}
		g.digests["x"] = &receivedDigest{Digest: Digest{DataCentre: "x"}, madeAt: now}
		g.hubInterval = g.computeHubInterval()
		g.standstills.Look(now)
		return g
	}

	// Guards against daemons that count as gone on waking, whose duties and shares this one then takes over.
	DescribeTable("takes none of the others for gone before it has read what they sent", func(peers int) {
		g := heard(peers)
		before, hubs := g.Live(now), g.Hubs("x", now)
		Expect(before).To(HaveLen(peers + 1))
		Expect(g.Live(now.Add(standstill))).To(Equal(before))
		Expect(g.Planners(now.Add(standstill), true, false)).To(Equal(g.Planners(now, true, false)))
		Expect(g.Hubs("x", now.Add(standstill))).To(Equal(hubs))
		Expect(g.digestFor(nil, Message{}, now.Add(standstill)).Members).To(HaveLen(peers + 1))
		g.standstills.Look(now.Add(standstill))
		Expect(g.Live(now.Add(standstill))).To(Equal(before))
	},
		Entry("in a small fleet", 2),
		Entry("in one with hubs", 20),
	)

	It("takes those for gone that it does not hear once it runs again", func() {
		g := heard(2)
		for at := standstill; at <= standstill+minLiveTimeout; at += minInterval {
			g.standstills.Look(now.Add(at))
		}
		Expect(g.Live(now.Add(standstill + minLiveTimeout))).To(HaveLen(1))
	})
})
