package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

// teller is one daemon of a fleet that has one request in progress at target 1.
type teller struct {
	*gossip.Gossip
	name, zone string
	count      atomic.Int64
	doubted    atomic.Bool
	heard      atomic.Bool // a doubt of another one
	returning  atomic.Bool // it heard of a request whose caller comes back
	stop       func()
}

func startTeller(name, zone string) *teller {
	t := &teller{name: name, zone: zone}
	t.count.Store(1)
	var err error
	t.Gossip, err = gossip.New(gossip.Dependencies{
		Node: name, Zone: zone, Address: freeAddress(), Incarnation: 1, Logger: slog.New(slog.DiscardHandler),
		Tell: t.tell,
		OnMessage: func(message gossip.Message) {
			if len(message.Doubts) > 0 {
				t.heard.Store(true)
			}
			if slices.Contains(message.Returning, 17) {
				t.returning.Store(true)
			}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.Run(ctx)
	}()
	t.stop = func() {
		cancel()
		<-done
	}
	return t
}

func (t *teller) tell() gossip.Message {
	message := gossip.Message{Store: true, Loads: map[uint32]gossip.Load{1: {Count: int(t.count.Load()), AgeMS: 5, Reading: 100}}, Crashes: map[uint64]int{3: 1}}
	if t.doubted.Load() {
		message.Doubts = []gossip.Doubt{{Group: "g", Epoch: 1}}
		message.Returning = []uint32{17}
	}
	return message
}

var _ = Describe("A fleet too large for all to tell all", func() {
	const perZone = 9
	var fleet []*teller
	load := func(t *teller) int { return t.Loads(time.Now())[1].Count }
	loads := func() []int {
		var seen []int
		for _, t := range fleet {
			seen = append(seen, load(t))
		}
		return seen
	}
	each := func(value int) []int {
		values := make([]int, len(fleet))
		for i := range values {
			values[i] = value
		}
		return values
	}

	BeforeEach(func() {
		fleet = nil
		var batch keyed.Batch
		for _, zone := range []string{"x", "y", "z"} {
			for i := range perZone {
				t := startTeller(fmt.Sprint(zone, i), zone)
				DeferCleanup(func() { t.stop() })
				own, err := t.Own()
				Expect(err).NotTo(HaveOccurred())
				batch.Records = append(batch.Records, own)
				fleet = append(fleet, t)
			}
		}
		for _, t := range fleet {
			t.Apply(batch)
		}
		Eventually(loads, "10s", "50ms").Should(Equal(each(3*perZone - 1)))
	})

	It("counts what each other daemon tells once, and its changes", func() {
		for _, t := range fleet {
			t.count.Store(2)
		}
		Eventually(loads, "5s", "20ms").Should(Equal(each(2 * (3*perZone - 1))))
		Expect(fleet[0].Crashes(time.Now())[3]).To(Equal(3*perZone - 1))
		Expect(fleet[0].Loads(time.Now())[1].Reading).To(Equal(100 * (3*perZone - 1)))
		Expect(fleet[0].Live(time.Now())).To(HaveLen(3 * perZone))
		fleet[3].doubted.Store(true)
		Eventually(func() bool { return fleet[3*perZone-1].heard.Load() }, "5s", "20ms").Should(BeTrue())
		Eventually(func() bool { return fleet[3*perZone-1].returning.Load() }, "5s", "20ms").Should(BeTrue())
		Expect(fleet[0].Delay()).To(BeNumerically("<=", 400*time.Millisecond))
	})

	It("chooses other hubs when those of a data centre are lost together, and forgets the lost", func() {
		hubs := fleet[0].Hubs("x", time.Now())
		Expect(hubs).To(HaveLen(2))
		var left []*teller
		for _, t := range fleet {
			if t.name == hubs[0] || t.name == hubs[1] {
				t.stop()
				continue
			}
			left = append(left, t)
		}
		fleet = left
		Eventually(loads, "10s", "50ms").Should(Equal(each(3*perZone - 3)))
		for _, t := range fleet {
			t.count.Store(2)
		}
		Eventually(loads, "5s", "20ms").Should(Equal(each(2 * (3*perZone - 3))))
		Expect(fleet[0].Hubs("x", time.Now())).NotTo(ContainElements(hubs))
	})

	It("forgets a data centre that is lost", func() {
		var left []*teller
		for _, t := range fleet {
			if t.zone == "z" {
				t.stop()
				continue
			}
			left = append(left, t)
		}
		fleet = left
		Eventually(loads, "10s", "50ms").Should(Equal(each(2*perZone - 1)))
		Eventually(func() []string { return fleet[0].Live(time.Now()) }, "10s").Should(HaveLen(2 * perZone))
	})
})
