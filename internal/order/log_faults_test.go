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
		b := newBed()
		nodes := b.startNodes(3)
		for i, n := range nodes {
			Expect(b.settled(n, fmt.Sprintf("warm-%d", i)).Refusal).To(BeNil())
		}
		// An append and the read of its verdict take longer than a claim waits
		// for a log that does not answer.
		b.log.Set(fakes.Faults{SlowMS: int(testClaimTimeout.Milliseconds()) / 2, SlowestMS: int(testClaimTimeout.Milliseconds())})
		told := make([]history, orders)
		var placing sync.WaitGroup
		for i := range orders {
			for caller := range 2 {
				placing.Go(func() { told[i].add(nodes[(i+caller)%len(nodes)].place(b.order(fmt.Sprintf("slow-%d", i)))) })
			}
		}
		placing.Wait()
		b.log.Set(fakes.Faults{})
		done := 0
		for i := range told {
			key := fmt.Sprintf("slow-%d", i)
			told[i].check(key, b.service.RunsOf(key))
			for _, result := range told[i].results {
				if result.Refusal == nil {
					done++
					break
				}
			}
			Expect(b.settled(nodes[i%len(nodes)], key).Refusal).To(BeNil())
			Expect(b.service.RunsOf(key)).To(Equal(1))
		}
		Expect(done).To(BeNumerically(">", orders/2))
	})

	It("that goes away while they run are all recorded later, and bound what is taken on meanwhile", func() {
		const pending = 8
		b := newBed()
		b.inProgress = pending
		node := b.startNodes(1)[0]
		Expect(b.settled(node, "warm").Refusal).To(BeNil())
		Eventually(node.runner.Pending, waitLong, pollOften).Should(BeZero())
		b.service.Set(fakes.Faults{Frozen: true})
		results := make(chan order.Result, pending)
		for i := range pending {
			go func() { results <- node.place(b.order(fmt.Sprintf("held-%d", i))) }()
		}
		for i := range pending {
			Eventually(b.stateOf(node, fmt.Sprintf("held-%d", i)), waitLong, pollOften).Should(Equal(order.Claimed))
		}
		b.log.Set(fakes.Faults{Down: true})
		b.service.Set(fakes.Faults{})
		for range pending {
			var result order.Result
			Eventually(results, waitLong).Should(Receive(&result))
			Expect(result.Refusal).To(BeNil()) // answered before it is recorded
		}
		// Longer than any wait of an order.
		Consistently(func() int { return node.runner.Pending() }, 3*time.Second, pollOften).Should(Equal(pending))
		refused := node.place(b.order("more")).Refusal
		Expect(refused.Reason).To(Equal(refusal.Overloaded))
		Expect(refused.Outcome).To(Equal(refusal.NotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		b.log.Set(fakes.Faults{})
		other := b.startNode("other")
		for i := range pending {
			key := fmt.Sprintf("held-%d", i)
			Eventually(b.stateOf(other, key), waitLong, pollOften).Should(Equal(order.Ran))
			Expect(b.settled(other, key).Refusal).To(BeNil())
			Expect(b.service.RunsOf(key)).To(Equal(1))
		}
		Eventually(node.runner.Pending, waitLong, pollOften).Should(BeZero())
		Expect(b.settled(node, "more").Refusal).To(BeNil())
		Expect(b.service.RunsOf("more")).To(Equal(1))
	})
	It("that cannot be read are refused at once, whichever their slot, and propose nothing", func() {
		b := newBed()
		node := b.startNodes(1)[0]
		key := func(i int) string { return fmt.Sprintf("slot-%d", i) }
		const orders = 40
		for i := range orders {
			Expect(b.settled(node, key(i)).Refusal).To(BeNil())
		}
		b.log.Set(fakes.Faults{Down: true})
		time.Sleep(logstream.DefaultPollWait + 3*testClaimTimeout) // reads in progress have ended, later ones fail
		proposed := 0
		node.onStep(func(at string) {
			if at == beforeClaim {
				proposed++
			}
		})
		for i := range orders {
			Expect(isNotRun(node.place(b.order("new-" + key(i))))).To(BeTrue())
		}
		node.onStep(nil)
		Expect(proposed).To(BeZero())
		b.log.Set(fakes.Faults{})
		for i := range orders {
			Expect(b.settled(node, "new-"+key(i)).Refusal).To(BeNil())
		}
	})
})
