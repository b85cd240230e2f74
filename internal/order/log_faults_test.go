package order_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
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
})
