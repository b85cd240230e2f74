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
			f := newFixture()
			daemons := f.startDaemons(3)
			owner, others := f.ownerOf(key, daemons)
			owner.onStep(func(at string) {
				switch {
				case at == step:
					owner.kill()
				case at == readClaim && step == afterClaim:
					// The claim may be read before its append returns. In this
					// entry the owner is killed before it reads the claim.
					<-owner.ctx.Done()
				}
			})
			lost := owner.place(f.order(key))
			Eventually(owner.isDead, eventuallyTimeout, pollInterval).Should(BeTrue())
			Expect(isUnknown(lost) || step == afterOutcome).To(BeTrue())
			result := others[0].place(f.order(key))
			if state == order.Ran {
				result = f.placeUntilFinal(others[0], key)
				Expect(result.Refusal).To(BeNil())
			} else {
				Expect(isUnknown(result)).To(BeTrue())
				others[0].clock.Store(int64(3 * time.Minute))
				Eventually(f.stateOf(others[1], key), eventuallyTimeout, pollInterval).Should(Equal(state))
				Expect(isUnknown(others[1].place(f.order(key)))).To(BeTrue())
			}
			Expect(f.service.RunsOf(key)).To(Equal(runs))
		},
		Entry("before the claim", beforeClaim, 1, order.Ran),
		Entry("after the claim", afterClaim, 0, order.Unclear),
		Entry("after the claim was read", readClaim, 0, order.Unclear),
		Entry("before dispatch", beforeDispatch, 0, order.Unclear),
		Entry("after dispatch", afterDispatch, 1, order.Unclear),
		Entry("before the outcome", beforeOutcome, 1, order.Unclear),
		Entry("after the outcome", afterOutcome, 1, order.Ran),
	)

	DescribeTable("runs once when the response to a log append is lost",
		func(step string) {
			f := newFixture()
			daemons := f.startDaemons(3)
			owner, others := f.ownerOf(key, daemons)
			owner.onStep(func(at string) { f.log.Set(fakes.Faults{LoseAnswers: at == step}) })
			Expect(others[0].place(f.order(key)).Refusal).To(BeNil())
			owner.onStep(nil)
			f.log.Set(fakes.Faults{})
			Expect(f.placeUntilFinal(others[1], key).Refusal).To(BeNil())
			Expect(f.service.RunsOf(key)).To(Equal(1))
		},
		Entry("of the claim", beforeClaim),
		Entry("of the outcome", beforeOutcome),
	)

	It("runs once when it is sent to every daemon concurrently", func() {
		f := newFixture()
		daemons := f.startDaemons(4)
		daemons[3].isolated.Store(true) // considers itself the owner of every slot
		var wait sync.WaitGroup
		results := make([]order.Result, 24)
		for i := range results {
			wait.Go(func() { results[i] = daemons[i%len(daemons)].place(f.order(key)) })
		}
		wait.Wait()
		for _, result := range results {
			Expect(result.Refusal).To(BeNil())
			Expect(result.Answer).To(Equal(results[0].Answer))
		}
		Expect(f.service.RunsOf(key)).To(Equal(1))
	})

	DescribeTable("is not dispatched by an owner that was paused past the deadline",
		func(step string) {
			f := newFixture()
			daemons := f.startDaemons(2)
			owner, others := f.ownerOf(key, daemons)
			resumed := make(chan struct{})
			var paused atomic.Bool
			owner.onStep(func(at string) {
				if at == step && paused.CompareAndSwap(false, true) {
					<-resumed
				}
			})
			o := f.order(key)
			o.Timeout = time.Second
			o.DeadlineMillis = time.Now().Add(o.Timeout).UnixMilli()
			go owner.place(o)
			Eventually(paused.Load, eventuallyTimeout, pollInterval).Should(BeTrue())
			owner.clock.Store(int64(time.Minute))
			if step == beforeDispatch {
				// The owner's deadline is its own arrival time, which precedes the
				// pause, plus the timeout.
				time.Sleep(o.Timeout + pollInterval)
			}
			close(resumed)
			Eventually(f.stateOf(others[0], key), eventuallyTimeout, pollInterval).Should(Equal(order.NotRan))
			owner.clock.Store(0)
			Expect(f.service.RunsOf(key)).To(BeZero())
			Expect(f.placeUntilFinal(others[0], key).Refusal).To(BeNil())
			Expect(f.service.RunsOf(key)).To(Equal(1))
		},
		Entry("between the claim and the call", readClaim),
		Entry("in the call", beforeDispatch),
	)

	It("is withdrawn when the verdict on its claim comes too late", func() {
		f := newFixture()
		daemons := f.startDaemons(2)
		owner, others := f.ownerOf(key, daemons)
		Expect(f.placeUntilFinal(owner, "warm-up").Refusal).To(BeNil())
		owner.onStep(func(at string) {
			switch at {
			case beforeClaim:
				owner.readsFail.Store(true) // the claim is appended, but its owner cannot read it
			case afterClaim:
				owner.appendsFail.Store(true)
			}
		})
		Expect(isNotRun(owner.place(f.order(key)))).To(BeTrue())
		Expect(f.service.RunsOf(key)).To(BeZero())
		owner.onStep(nil)
		time.Sleep(testClaimTimeout) // the log remains unavailable to the owner meanwhile
		Expect(f.stateOf(others[0], key)()).To(Equal(order.Claimed))
		owner.appendsFail.Store(false)
		owner.readsFail.Store(false)
		Eventually(f.stateOf(others[0], key), eventuallyTimeout, pollInterval).Should(Equal(order.NotRan))
		Expect(f.placeUntilFinal(others[0], key).Refusal).To(BeNil())
		Expect(f.service.RunsOf(key)).To(Equal(1))
	})
})
