package order_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

var _ = Describe("An order", func() {
	const key = "fault-1"

	It("has an unknown outcome, is never run again and can be settled by hand when the service's answer is lost", func() {
		f := newFixture()
		daemons := f.startDaemons(2)
		f.service.Set(fakes.Faults{LoseAnswers: true})
		Expect(isUnknown(daemons[0].place(f.order(key)))).To(BeTrue())
		f.service.Set(fakes.Faults{})
		Expect(isUnknown(f.placeUntilFinal(daemons[1], key))).To(BeTrue())
		ctx, cancel := contextWithTimeout()
		defer cancel()
		_, err := daemons[1].book.Settle(ctx, f.order(key).Key, false, "ana")
		Expect(err).NotTo(HaveOccurred())
		Expect(daemons[0].place(f.order(key)).Refusal.Reason).To(Equal(refusal.OrderClosed))
		Expect(f.service.RunsOf(key)).To(Equal(1))
	})

	It("has an unknown outcome for a caller whose request times out while it runs", func() {
		f := newFixture()
		daemon := f.startDaemons(1)[0]
		f.service.Set(fakes.Faults{DelayMS: 1000})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		Expect(isUnknown(daemon.runner.Run(ctx, f.order(key)))).To(BeTrue())
		Expect(f.placeUntilFinal(daemon, key).Refusal).To(BeNil())
		Expect(f.service.RunsOf(key)).To(Equal(1))
	})

	It("has its outcome recorded when the log was unavailable during the call", func() {
		f := newFixture()
		daemon := f.startDaemons(1)[0]
		f.service.Set(fakes.Faults{Frozen: true})
		placed := make(chan order.Result, 1)
		go func() { placed <- daemon.place(f.order(key)) }()
		Eventually(f.stateOf(daemon, key), eventuallyTimeout, pollInterval).Should(Equal(order.Claimed))
		f.log.Set(fakes.Faults{Down: true})
		f.service.Set(fakes.Faults{})
		Expect((<-placed).Refusal).To(BeNil())
		time.Sleep(time.Second) // longer than an answer is held back until its outcome is recorded
		f.log.Set(fakes.Faults{})
		Eventually(f.stateOf(daemon, key), eventuallyTimeout, pollInterval).Should(Equal(order.Ran))
		Expect(daemon.place(f.order(key)).Refusal).To(BeNil())
		Expect(f.service.RunsOf(key)).To(Equal(1))
	})

	It("is not run again when its answer was too large to be read", func() {
		f := newFixture()
		daemons := f.startDaemons(2)
		large := f.order(key)
		large.Call.Body = bytes.Repeat([]byte("<"), 1<<20-1) // the fake service's answer escapes each byte to six bytes
		for _, d := range []*daemon{daemons[0], daemons[0], daemons[1]} {
			got := d.place(large)
			Expect(isUnknown(got)).To(BeTrue())
			Expect(got.Refusal.Reason).To(Equal(refusal.AnswerNotKept))
		}
		Expect(f.service.RunsOf(key)).To(Equal(1))
	})

	It("gets the recorded answer while the service is down", func() {
		f := newFixture()
		daemons := f.startDaemons(2)
		first := f.placeUntilFinal(daemons[0], key)
		f.serviceServer.Kill()
		Expect(daemons[1].place(f.order(key))).To(Equal(first))
		Expect(isNotRun(daemons[1].place(f.order("unborn")))).To(BeTrue())
		other := f.order(key)
		other.Call.Path = "/refunds"
		Expect(daemons[1].place(other).Refusal.Reason).To(Equal(refusal.KeyReused))
		Expect(f.serviceServer.Start()).To(Succeed())
		Expect(f.placeUntilFinal(daemons[1], "unborn").Refusal).To(BeNil())
		Expect(f.service.RunsOf("unborn")).To(Equal(1))
	})

	It("appends nothing to the log while no endpoint is healthy", func() {
		f := newFixture()
		daemon := f.startDaemons(1)[0]
		first := f.placeUntilFinal(daemon, key)
		daemon.kill()
		fresh := f.startDaemon("fresh")
		fresh.serviceDown.Store(true)
		before := f.log.Appends()
		Expect(fresh.place(f.order(key))).To(Equal(first))
		Expect(fresh.place(f.order("unborn")).Refusal.Reason).To(Equal(refusal.ServiceDown))
		Expect(f.log.Appends()).To(Equal(before))
	})

	It("is refused as not run at once while the log is unavailable", func() {
		f := newFixture()
		daemons := f.startDaemons(2)
		Expect(f.placeUntilFinal(daemons[0], key).Refusal).To(BeNil())
		f.log.Set(fakes.Faults{Down: true})
		var wait sync.WaitGroup
		started := time.Now()
		for i := range 200 {
			wait.Go(func() {
				defer GinkgoRecover()
				Expect(isNotRun(daemons[i%2].place(f.order("away-" + string(rune('a'+i%20)))))).To(BeTrue())
			})
		}
		wait.Wait()
		Expect(time.Since(started)).To(BeNumerically("<", placeTimeout))
		Expect(daemons[0].place(f.order(key)).Refusal).To(BeNil())
		Expect(f.service.Runs()).To(HaveLen(1))
		self := f.order("self-refusing")
		self.RefusesRepeats = true
		Expect(daemons[0].place(self).Refusal).To(BeNil())
		f.log.Set(fakes.Faults{})
		Eventually(f.stateOf(daemons[1], "self-refusing"), eventuallyTimeout, pollInterval).Should(Equal(order.Ran))
		Expect(f.placeUntilFinal(daemons[1], "away-a").Refusal).To(BeNil())
		Expect(f.service.RunsOf("away-a")).To(Equal(1))
	})

	It("is never answered with the answer of another request that claimed its key in the meantime", func() {
		f := newFixture()
		daemons := f.startDaemons(3)
		claimant, waiting, other := daemons[0], daemons[1], daemons[2]
		for _, d := range daemons {
			d.isolated.Store(true)
		}
		resumed := make(chan struct{})
		claimant.onStep(func(at string) {
			if at == readClaim {
				<-resumed
			}
		})
		o := f.order(key)
		o.Timeout = time.Second
		o.DeadlineMillis = time.Now().Add(o.Timeout).UnixMilli()
		go claimant.place(o)
		Eventually(f.stateOf(waiting, key), eventuallyTimeout, pollInterval).Should(Equal(order.Claimed))
		waiting.readsFail.Store(true)
		results := make(chan order.Result, 1)
		repeat := f.order(key)
		repeat.MaybeForwarded = true // waits for the outcome until its deadline
		go func() { results <- waiting.place(repeat) }()
		claimant.clock.Store(int64(time.Minute))
		close(resumed)
		Eventually(f.stateOf(other, key), eventuallyTimeout, pollInterval).Should(Equal(order.NotRan))
		another := f.order(key)
		another.Call.Body = []byte("another request")
		Expect(other.place(another).Refusal).To(BeNil())
		waiting.readsFail.Store(false)
		var result order.Result
		Eventually(results, eventuallyTimeout).Should(Receive(&result))
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Reason).To(Equal(refusal.KeyReused))
	})

	It("is recorded by an owner that could not append while other writers appended many records", func() {
		f := newFixture()
		f.snapshotEvery = 1 << 20
		daemons := f.startDaemons(2)
		owner, others := f.ownerOf(key, daemons)
		owner.onStep(func(at string) {
			if at == beforeOutcome {
				owner.appendsFail.Store(true)
			}
		})
		Expect(owner.place(f.order(key)).Refusal).To(BeNil())
		f.fill(order.SlotOf(f.order(key).Key), 40_000)
		owner.onStep(nil)
		owner.appendsFail.Store(false)
		Eventually(f.stateOf(others[0], key), eventuallyTimeout, pollInterval).Should(Equal(order.Ran))
	})

	It("is sent again but not run again when its owner's answer is lost", func() {
		f := newFixture()
		daemons := f.startDaemons(3)
		owner, others := f.ownerOf(key, daemons)
		owner.losesAnswers.Store(true)
		Expect(others[0].place(f.order(key)).Refusal).To(BeNil())
		Expect(f.service.RunsOf(key)).To(Equal(1))
		f.serviceServer.Kill()
		lost := f.keyOwnedBy(owner, daemons)
		Expect(isUnknown(others[0].place(f.order(lost)))).To(BeTrue())
		Expect(f.service.RunsOf(lost)).To(BeZero())
	})
})
