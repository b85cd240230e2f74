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
	It("change owners while orders run, and each order runs once", func() {
		f := newFixture()
		daemons := f.startDaemons(4)
		f.service.Set(fakes.Faults{DelayMS: 50})
		var wait sync.WaitGroup
		const orders = 200
		for i := range orders {
			key := fmt.Sprintf("moving-%d", i)
			for _, d := range daemons[:2] {
				wait.Go(func() {
					defer GinkgoRecover()
					Expect(f.placeUntilFinal(d, key).Refusal).To(BeNil())
				})
			}
			daemons[2+i%2].hidden.Store(i%4 < 2)
			time.Sleep(5 * time.Millisecond)
		}
		wait.Wait()
		for i := range orders {
			Expect(f.service.RunsOf(fmt.Sprintf("moving-%d", i))).To(Equal(1))
		}
	})

	It("retain their keys when every daemon is replaced and old records expire", func() {
		f := newFixture()
		f.snapshotEvery = 8
		daemons := f.startDaemons(3)
		results := map[string]order.Result{}
		for i := range 150 {
			key := fmt.Sprintf("kept-%d", i)
			results[key] = f.placeUntilFinal(daemons[i%3], key)
		}
		for _, d := range daemons {
			d.kill()
		}
		expired := 0
		for slot := range order.Slot(order.Slots) {
			below := f.lastSnapshot(slot) - 6 // the reference is appended a few records after the state that its snapshot holds
			if below > infra.FirstOffset && below < 1<<32 {
				f.log.Expire(order.StreamName(slot), below)
				expired += int(below)
			}
		}
		Expect(expired).To(BeNumerically(">", 100))
		fresh := f.startDaemon(fleet.DaemonID("fresh"))
		for key, result := range results {
			Expect(f.placeUntilFinal(fresh, key)).To(Equal(result))
			Expect(f.service.RunsOf(key)).To(Equal(1))
		}
	})

	It("are followed by two daemons each and closed by the others", func() {
		f := newFixture()
		daemons := f.startDaemons(8)
		total := func() int {
			sum := 0
			for _, d := range daemons {
				d.clock.Add(int64(time.Minute)) // past the idle timeout of unused slots
				sum += d.slots.Followed()
			}
			return sum
		}
		Eventually(total, eventuallyTimeout, 100*time.Millisecond).Should(Equal(2 * order.Slots))
	})
})

// lastSnapshot returns the offset of a slot's last snapshot reference, or 0 if
// there is none.
func (f *fixture) lastSnapshot(slot order.Slot) infra.Offset {
	var last infra.Offset
	for _, record := range f.log.Records(order.StreamName(slot)) {
		if kindOf([][]byte{record.Data}) == string(logstream.KindReference) {
			last = record.Offset
		}
	}
	return last
}

var _ = Describe("Concurrent orders", func() {
	It("share appends", func() {
		f := newFixture()
		f.claimTimeout = 0 // use the default
		daemons := f.startDaemons(3)
		Eventually(func() int { return daemons[0].slots.Followed() }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 0))
		const orders = 480
		f.log.Set(fakes.Faults{DelayMS: 100})
		before := f.log.Appends()
		runConcurrently(orders, orders, func(i int) {
			defer GinkgoRecover()
			Expect(f.placeUntilFinal(daemons[0], fmt.Sprintf("batch-%d", i)).Refusal).To(BeNil())
		})
		Expect(f.log.Appends() - before).To(BeNumerically("<", orders)) // each order has two records
	})
})
