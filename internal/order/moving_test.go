package order_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

var _ = Describe("Slots", func() {
	It("move while orders run, and each order runs once", func() {
		b := newBed()
		nodes := b.startNodes(4)
		b.service.Set(fakes.Faults{DelayMS: 50})
		var wait sync.WaitGroup
		const orders = 200
		for i := range orders {
			key := fmt.Sprintf("moving-%d", i)
			for _, n := range nodes[:2] {
				wait.Go(func() {
					defer GinkgoRecover()
					Expect(b.settled(n, key).Refusal).To(BeNil())
				})
			}
			nodes[2+i%2].hidden.Store(i%4 < 2)
			time.Sleep(5 * time.Millisecond)
		}
		wait.Wait()
		for i := range orders {
			Expect(b.service.RunsOf(fmt.Sprintf("moving-%d", i))).To(Equal(1))
		}
	})

	It("keep their keys when every daemon is replaced and old records expire", func() {
		b := newBed()
		b.snapshotEvery = 8
		nodes := b.startNodes(3)
		results := map[string]order.Result{}
		for i := range 150 {
			key := fmt.Sprintf("kept-%d", i)
			results[key] = b.settled(nodes[i%3], key)
		}
		for _, n := range nodes {
			n.kill()
		}
		expired := 0
		for slot := range order.Slot(order.Slots) {
			below := b.lastSnapshot(slot) - 6 // a snapshot lies a few records after the one it is as of
			if below > infra.FirstOffset && below < 1<<32 {
				b.log.Expire(order.StreamName(slot), below)
				expired += int(below)
			}
		}
		Expect(expired).To(BeNumerically(">", 100))
		fresh := b.startNode(fleet.DaemonID("fresh"))
		for key, result := range results {
			Expect(b.settled(fresh, key)).To(Equal(result))
			Expect(b.service.RunsOf(key)).To(Equal(1))
		}
	})

	It("are followed by two daemons each, and dropped by the others", func() {
		b := newBed()
		nodes := b.startNodes(8)
		total := func() int {
			sum := 0
			for _, n := range nodes {
				n.clock.Add(int64(time.Minute)) // past the time that an unused slot stays followed
				sum += n.slots.Followed()
			}
			return sum
		}
		Eventually(total, waitLong, 100*time.Millisecond).Should(Equal(2 * order.Slots))
	})
})

// lastSnapshot returns the offset of a slot's last reference to a snapshot, or
// zero.
func (b *bed) lastSnapshot(slot order.Slot) infra.Offset {
	var last infra.Offset
	for _, record := range b.log.Records(order.StreamName(slot)) {
		if kindOf([][]byte{record.Data}) == string(logstream.KindReference) {
			last = record.Offset
		}
	}
	return last
}

var _ = Describe("Orders at the same time", func() {
	It("share appends", func() {
		b := newBed()
		b.claimTimeout = 0 // the default
		nodes := b.startNodes(3)
		Eventually(func() int { return nodes[0].slots.Followed() }, waitLong, pollOften).Should(BeNumerically(">", 0))
		const orders = 480
		b.log.Set(fakes.Faults{DelayMS: 100})
		before := b.log.Appends()
		spread(orders, orders, func(i int) {
			defer GinkgoRecover()
			Expect(b.settled(nodes[0], fmt.Sprintf("batch-%d", i)).Refusal).To(BeNil())
		})
		Expect(b.log.Appends() - before).To(BeNumerically("<", orders)) // two records an order
	})
})
