package order_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

var _ = Describe("Orders on a log", func() {
	It("that is slow run once, mostly at the first try, or are refused as not run", func() {
		const orders = 40
		f := newFixture()
		daemons := f.startDaemons(3)
		for i, d := range daemons {
			Expect(f.placeUntilFinal(d, fmt.Sprintf("warm-%d", i)).Refusal).To(BeNil())
		}
		// An append and the read of its verdict together take longer than the
		// claim timeout, but no single call takes longer than it.
		f.log.Set(fakes.Faults{SlowMS: int(testClaimTimeout.Milliseconds()) / 2, SlowestMS: int(testClaimTimeout.Milliseconds())})
		histories := make([]history, orders)
		var placing sync.WaitGroup
		for i := range orders {
			for caller := range 2 {
				placing.Go(func() { histories[i].add(daemons[(i+caller)%len(daemons)].place(f.order(fmt.Sprintf("slow-%d", i)))) })
			}
		}
		placing.Wait()
		f.log.Set(fakes.Faults{})
		done := 0
		for i := range histories {
			key := fmt.Sprintf("slow-%d", i)
			histories[i].check(key, f.service.RunsOf(key))
			for _, result := range histories[i].results {
				if result.Refusal == nil {
					done++
					break
				}
			}
			Expect(f.placeUntilFinal(daemons[i%len(daemons)], key).Refusal).To(BeNil())
			Expect(f.service.RunsOf(key)).To(Equal(1))
		}
		Expect(done).To(BeNumerically(">", orders/2))
	})

	It("that becomes unavailable while they run are all recorded later, and limit the orders accepted meanwhile", func() {
		const pending = 8
		f := newFixture()
		f.inProgress = pending
		daemon := f.startDaemons(1)[0]
		Expect(f.placeUntilFinal(daemon, "warm").Refusal).To(BeNil())
		Eventually(daemon.runner.Pending, eventuallyTimeout, pollInterval).Should(BeZero())
		f.service.Set(fakes.Faults{Frozen: true})
		results := make(chan order.Result, pending)
		for i := range pending {
			go func() { results <- daemon.place(f.order(fmt.Sprintf("held-%d", i))) }()
		}
		for i := range pending {
			Eventually(f.stateOf(daemon, fmt.Sprintf("held-%d", i)), eventuallyTimeout, pollInterval).Should(Equal(order.Claimed))
		}
		f.log.Set(fakes.Faults{Down: true})
		f.service.Set(fakes.Faults{})
		for range pending {
			var result order.Result
			Eventually(results, eventuallyTimeout).Should(Receive(&result))
			Expect(result.Refusal).To(BeNil()) // answered before the outcome is recorded
		}
		// 3 s is longer than any timeout within an order.
		Consistently(func() int { return daemon.runner.Pending() }, 3*time.Second, pollInterval).Should(Equal(pending))
		refused := daemon.place(f.order("more")).Refusal
		Expect(refused.Reason).To(Equal(refusal.Overloaded))
		Expect(refused.Outcome).To(Equal(refusal.NotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		f.log.Set(fakes.Faults{})
		other := f.startDaemon("other")
		for i := range pending {
			key := fmt.Sprintf("held-%d", i)
			Eventually(f.stateOf(other, key), eventuallyTimeout, pollInterval).Should(Equal(order.Ran))
			Expect(f.placeUntilFinal(other, key).Refusal).To(BeNil())
			Expect(f.service.RunsOf(key)).To(Equal(1))
		}
		Eventually(daemon.runner.Pending, eventuallyTimeout, pollInterval).Should(BeZero())
		Expect(f.placeUntilFinal(daemon, "more").Refusal).To(BeNil())
		Expect(f.service.RunsOf("more")).To(Equal(1))
	})
	It("that cannot be read are refused at once in every slot and propose nothing", func() {
		f := newFixture()
		daemon := f.startDaemons(1)[0]
		key := func(i int) string { return fmt.Sprintf("slot-%d", i) }
		const orders = 40
		for i := range orders {
			Expect(f.placeUntilFinal(daemon, key(i)).Refusal).To(BeNil())
		}
		f.log.Set(fakes.Faults{Down: true})
		time.Sleep(logstream.DefaultPollWait + 3*testClaimTimeout) // reads in progress have ended and later ones fail
		proposed := 0
		daemon.onStep(func(at string) {
			if at == beforeClaim {
				proposed++
			}
		})
		for i := range orders {
			Expect(isNotRun(daemon.place(f.order("new-" + key(i))))).To(BeTrue())
		}
		daemon.onStep(nil)
		Expect(proposed).To(BeZero())
		f.log.Set(fakes.Faults{})
		for i := range orders {
			Expect(f.placeUntilFinal(daemon, "new-"+key(i)).Refusal).To(BeNil())
		}
	})
})
