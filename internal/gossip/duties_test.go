package gossip_test

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

var _ = Describe("Duties for a data centre whose daemons differ in processor time", func() {
	const daemons = 40
	// view returns what one daemon knows after it has read the registrations of all; those at
	// strong may use four times as much processor time as the others.
	view := func(number int, strong ...int) *gossip.Gossip {
		share := func(n int) float64 {
			for _, s := range strong {
				if s == n {
					return 0.8
				}
			}
			return 0.2
		}
		g, err := gossip.New(gossip.Dependencies{
			Node: fmt.Sprint("n", number), DataCentre: "z", Address: freeAddress(), Incarnation: 1, CPUShare: share(number),
			LocalMessage: func() gossip.Message { return gossip.Message{} }, OnMessage: func(gossip.Message) {}, Logger: slog.New(slog.DiscardHandler),
		})
		Expect(err).NotTo(HaveOccurred())
		var batch keyed.Batch
		for n := range daemons {
			value, err := cbor.Marshal(gossip.Registration{Address: "127.0.0.1:9", DataCentre: "z", Incarnation: 1, CPUShare: share(n)})
			Expect(err).NotTo(HaveOccurred())
			batch.Records = append(batch.Records, keyed.Record{Key: fmt.Sprint("n", n), Value: value})
		}
		g.Apply(batch)
		return g
	}

	It("fall to the strong ones, and all daemons agree on the reader by the registrations alone", func() {
		for number := range daemons {
			name, _ := view(number, 7, 23).ExpectedReader()
			Expect(name).To(BeElementOf("n7", "n23"))
			first, _ := view(0, 7, 23).ExpectedReader()
			Expect(name).To(Equal(first))
		}
	})

	It("fall to any daemon if all are alike", func() {
		name, _ := view(3).ExpectedReader()
		other, _ := view(9).ExpectedReader()
		Expect(name).NotTo(BeEmpty())
		Expect(other).To(Equal(name))
	})

	It("fall to a weak one while no strong one is alive", func() {
		g := view(3, 7, 23)
		Expect(g.Hubs("z", time.Now())).To(Equal([]string{"n3"}), "no other is known to be alive")
	})
})
