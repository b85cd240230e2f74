package gossip

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

var _ = Describe("The registered daemons", func() {
	now := time.Now()
	var g *Gossip
	apply := func(name string, deleted bool) {
		value, err := (&Gossip{Dependencies: Dependencies{Node: name, Address: "127.0.0.1:1", Incarnation: 1}}).Registration()
		Expect(err).NotTo(HaveOccurred())
		if deleted {
			value.Value = nil
		}
		g.Apply(keyed.Batch{Records: []keyed.Record{value}})
	}
	count := func(at time.Duration) int {
		counting, _ := g.Registered(now.Add(at))
		return len(counting)
	}
	hear := func(peers int, at time.Duration) {
		for i := range peers {
			g.peers[fmt.Sprint("n", i)].lastSeen = now.Add(at)
		}
	}
	BeforeEach(func() {
		g = &Gossip{Dependencies: Dependencies{Node: "self", Logger: slog.New(slog.DiscardHandler)}, peers: map[string]*Peer{}, byHash: map[uint32]*Peer{}, everRegistered: map[string]bool{}}
		for i := range 9 {
			apply(fmt.Sprint("n", i), false)
		}
	})

	// What daemons may send to a cold endpoint must not depend on whom they hear.
	It("all count at once, heard or not, and those gone for long only where most are heard", func() {
		counting, ever := g.Registered(now)
		Expect(counting).To(HaveLen(10))
		Expect(counting).To(ContainElement("self"))
		Expect(ever).To(Equal(10))
		hear(4, 20*time.Minute)
		Expect(count(20*time.Minute)).To(Equal(10), "half of the fleet, perhaps divided from the other half")
		hear(5, 40*time.Minute)
		Expect(count(40 * time.Minute)).To(Equal(6))
		Expect(count(2*time.Hour)).To(Equal(10), "a daemon that hears no other")
	})

	It("are counted for ever once known, so that no rate rises when they go", func() {
		apply("n1", true)
		counting, ever := g.Registered(now)
		Expect(counting).To(HaveLen(9))
		Expect(ever).To(Equal(10))
	})
})
