package order_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/order"
)

var _ = Describe("An order", func() {
	const key = "proof-1"

	DescribeTable("runs at most once when its owner is killed",
		func(step string, runs int, state order.State) {
			b := newBed()
			nodes := b.startNodes(3)
			owner, others := b.ownerOf(key, nodes)
			owner.onStep(func(at string) {
				switch {
				case at == step:
					owner.kill()
				case at == readClaim && step == afterClaim:
					// A claim may be read before its append is answered. The
					// owner of this entry dies before it reads its claim.
					<-owner.ctx.Done()
				}
			})
			lost := owner.place(b.order(key))
			Eventually(owner.isDead, waitLong, pollOften).Should(BeTrue())
			Expect(isUnknown(lost) || step == afterOutcome).To(BeTrue())
			result := others[0].place(b.order(key))
			if state == order.Ran {
				result = b.settled(others[0], key)
				Expect(result.Refusal).To(BeNil())
			} else {
				Expect(isUnknown(result)).To(BeTrue())
				others[0].clock.Store(int64(3 * time.Minute))
				Eventually(b.stateOf(others[1], key), waitLong, pollOften).Should(Equal(state))
				Expect(isUnknown(others[1].place(b.order(key)))).To(BeTrue())
			}
			Expect(b.service.RunsOf(key)).To(Equal(runs))
		},
		Entry("before the claim", beforeClaim, 1, order.Ran),
		Entry("after the claim", afterClaim, 0, order.Unclear),
		Entry("after the claim was read", readClaim, 0, order.Unclear),
		Entry("before dispatch", beforeDispatch, 0, order.Unclear),
		Entry("after dispatch", afterDispatch, 1, order.Unclear),
		Entry("before the outcome", beforeOutcome, 1, order.Unclear),
		Entry("after the outcome", afterOutcome, 1, order.Ran),
	)

	DescribeTable("runs once when the log loses the answer of an append",
		func(step string) {
			b := newBed()
			nodes := b.startNodes(3)
			owner, others := b.ownerOf(key, nodes)
			owner.onStep(func(at string) { b.log.Set(fakes.Faults{LoseAnswers: at == step}) })
			Expect(others[0].place(b.order(key)).Refusal).To(BeNil())
			owner.onStep(nil)
			b.log.Set(fakes.Faults{})
			Expect(b.settled(others[1], key).Refusal).To(BeNil())
			Expect(b.service.RunsOf(key)).To(Equal(1))
		},
		Entry("of the claim", beforeClaim),
		Entry("of the outcome", beforeOutcome),
	)

	It("runs once when it is repeated at every daemon at the same time", func() {
		b := newBed()
		nodes := b.startNodes(4)
		nodes[3].alone.Store(true) // a second owner of every slot
		var wait sync.WaitGroup
		results := make([]order.Result, 24)
		for i := range results {
			wait.Go(func() { results[i] = nodes[i%len(nodes)].place(b.order(key)) })
		}
		wait.Wait()
		for _, result := range results {
			Expect(result.Refusal).To(BeNil())
			Expect(result.Answer).To(Equal(results[0].Answer))
		}
		Expect(b.service.RunsOf(key)).To(Equal(1))
	})

	DescribeTable("is not sent by an owner that was frozen past the deadline",
		func(step string) {
			b := newBed()
			nodes := b.startNodes(2)
			owner, others := b.ownerOf(key, nodes)
			thawed := make(chan struct{})
			var frozen atomic.Bool
			owner.onStep(func(at string) {
				if at == step && frozen.CompareAndSwap(false, true) {
					<-thawed
				}
			})
			o := b.order(key)
			o.Timeout = time.Second
			o.DeadlineMillis = time.Now().Add(o.Timeout).UnixMilli()
			go owner.place(o)
			Eventually(frozen.Load, waitLong, pollOften).Should(BeTrue())
			owner.clock.Store(int64(time.Minute))
			if step == beforeDispatch {
				time.Sleep(time.Until(time.UnixMilli(o.DeadlineMillis)) + pollOften)
			}
			close(thawed)
			Eventually(b.stateOf(others[0], key), waitLong, pollOften).Should(Equal(order.NotRan))
			owner.clock.Store(0)
			Expect(b.service.RunsOf(key)).To(BeZero())
			Expect(b.settled(others[0], key).Refusal).To(BeNil())
			Expect(b.service.RunsOf(key)).To(Equal(1))
		},
		Entry("between the claim and the call", readClaim),
		Entry("in the call", beforeDispatch),
	)

	It("is withdrawn when the verdict on its claim comes too late", func() {
		b := newBed()
		nodes := b.startNodes(2)
		owner, others := b.ownerOf(key, nodes)
		Expect(b.settled(owner, "warm-up").Refusal).To(BeNil())
		owner.onStep(func(at string) {
			switch at {
			case beforeClaim:
				owner.readsCut.Store(true) // the claim stands, and its owner cannot read it
			case afterClaim:
				owner.appendsCut.Store(true)
			}
		})
		Expect(isNotRun(owner.place(b.order(key)))).To(BeTrue())
		Expect(b.service.RunsOf(key)).To(BeZero())
		owner.onStep(nil)
		time.Sleep(testClaimTimeout) // the log stays away for a while
		Expect(b.stateOf(others[0], key)()).To(Equal(order.Claimed))
		owner.appendsCut.Store(false)
		owner.readsCut.Store(false)
		Eventually(b.stateOf(others[0], key), waitLong, pollOften).Should(Equal(order.NotRan))
		Expect(b.settled(others[0], key).Refusal).To(BeNil())
		Expect(b.service.RunsOf(key)).To(Equal(1))
	})
})
