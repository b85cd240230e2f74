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

	It("is unknown, never run again and settled by hand when the service's answer is lost", func() {
		b := newBed()
		nodes := b.startNodes(2)
		b.service.Set(fakes.Faults{LoseAnswers: true})
		Expect(isUnknown(nodes[0].place(b.order(key)))).To(BeTrue())
		b.service.Set(fakes.Faults{})
		Expect(isUnknown(b.settled(nodes[1], key))).To(BeTrue())
		ctx, cancel := contextWithTimeout()
		defer cancel()
		_, err := nodes[1].book.Settle(ctx, b.order(key).Key, false, "ana")
		Expect(err).NotTo(HaveOccurred())
		Expect(nodes[0].place(b.order(key)).Refusal.Reason).To(Equal(refusal.OrderClosed))
		Expect(b.service.RunsOf(key)).To(Equal(1))
	})

	It("is unknown to a caller whose time is over while it runs", func() {
		b := newBed()
		node := b.startNodes(1)[0]
		b.service.Set(fakes.Faults{DelayMS: 1000})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		Expect(isUnknown(node.runner.Run(ctx, b.order(key)))).To(BeTrue())
		Expect(b.settled(node, key).Refusal).To(BeNil())
		Expect(b.service.RunsOf(key)).To(Equal(1))
	})

	It("has its outcome recorded however long the log is away meanwhile", func() {
		b := newBed()
		node := b.startNodes(1)[0]
		b.service.Set(fakes.Faults{Frozen: true})
		placed := make(chan order.Result, 1)
		go func() { placed <- node.place(b.order(key)) }()
		Eventually(b.stateOf(node, key), waitLong, pollOften).Should(Equal(order.Claimed))
		b.log.Set(fakes.Faults{Down: true})
		b.service.Set(fakes.Faults{})
		Expect((<-placed).Refusal).To(BeNil())
		time.Sleep(time.Second) // longer than an answer waits for its record
		b.log.Set(fakes.Faults{})
		Eventually(b.stateOf(node, key), waitLong, pollOften).Should(Equal(order.Ran))
		Expect(node.place(b.order(key)).Refusal).To(BeNil())
		Expect(b.service.RunsOf(key)).To(Equal(1))
	})

	It("is not run again when its answer was too large to be read", func() {
		b := newBed()
		nodes := b.startNodes(2)
		large := b.order(key)
		large.Call.Body = bytes.Repeat([]byte("<"), 1<<20-1) // the stand-in's answer escapes each by six bytes
		for _, n := range []*node{nodes[0], nodes[0], nodes[1]} {
			got := n.place(large)
			Expect(isUnknown(got)).To(BeTrue())
			Expect(got.Refusal.Reason).To(Equal(refusal.AnswerNotKept))
		}
		Expect(b.service.RunsOf(key)).To(Equal(1))
	})

	It("gets the recorded answer while the service is down", func() {
		b := newBed()
		nodes := b.startNodes(2)
		first := b.settled(nodes[0], key)
		b.serviceServer.Kill()
		Expect(nodes[1].place(b.order(key))).To(Equal(first))
		Expect(isNotRun(nodes[1].place(b.order("unborn")))).To(BeTrue())
		other := b.order(key)
		other.Call.Path = "/refunds"
		Expect(nodes[1].place(other).Refusal.Reason).To(Equal(refusal.KeyReused))
		Expect(b.serviceServer.Start()).To(Succeed())
		Expect(b.settled(nodes[1], "unborn").Refusal).To(BeNil())
		Expect(b.service.RunsOf("unborn")).To(Equal(1))
	})

	It("costs the log nothing while no endpoint is healthy", func() {
		b := newBed()
		node := b.startNodes(1)[0]
		first := b.settled(node, key)
		node.kill()
		fresh := b.startNode("fresh")
		fresh.serviceDown.Store(true)
		before := b.log.Appends()
		Expect(fresh.place(b.order(key))).To(Equal(first))
		Expect(fresh.place(b.order("unborn")).Refusal.Reason).To(Equal(refusal.ServiceDown))
		Expect(b.log.Appends()).To(Equal(before))
	})

	It("is refused as not run at once while the log is away", func() {
		b := newBed()
		nodes := b.startNodes(2)
		Expect(b.settled(nodes[0], key).Refusal).To(BeNil())
		b.log.Set(fakes.Faults{Down: true})
		var wait sync.WaitGroup
		started := time.Now()
		for i := range 200 {
			wait.Go(func() {
				defer GinkgoRecover()
				Expect(isNotRun(nodes[i%2].place(b.order("away-" + string(rune('a'+i%20)))))).To(BeTrue())
			})
		}
		wait.Wait()
		Expect(time.Since(started)).To(BeNumerically("<", placeTimeout))
		Expect(nodes[0].place(b.order(key)).Refusal).To(BeNil())
		Expect(b.service.Runs()).To(HaveLen(1))
		self := b.order("self-refusing")
		self.RefusesRepeats = true
		Expect(nodes[0].place(self).Refusal).To(BeNil())
		b.log.Set(fakes.Faults{})
		Eventually(b.stateOf(nodes[1], "self-refusing"), waitLong, pollOften).Should(Equal(order.Ran))
		Expect(b.settled(nodes[1], "away-a").Refusal).To(BeNil())
		Expect(b.service.RunsOf("away-a")).To(Equal(1))
	})

	It("is never answered with another request's answer that got its key meanwhile", func() {
		b := newBed()
		nodes := b.startNodes(3)
		claimant, waiting, other := nodes[0], nodes[1], nodes[2]
		for _, n := range nodes {
			n.alone.Store(true)
		}
		thawed := make(chan struct{})
		claimant.onStep(func(at string) {
			if at == readClaim {
				<-thawed
			}
		})
		o := b.order(key)
		o.Timeout = time.Second
		o.DeadlineMillis = time.Now().Add(o.Timeout).UnixMilli()
		go claimant.place(o)
		Eventually(b.stateOf(waiting, key), waitLong, pollOften).Should(Equal(order.Claimed))
		waiting.readsCut.Store(true)
		results := make(chan order.Result, 1)
		repeat := b.order(key)
		repeat.Again = true // waits all its time for the outcome
		go func() { results <- waiting.place(repeat) }()
		claimant.clock.Store(int64(time.Minute))
		close(thawed)
		Eventually(b.stateOf(other, key), waitLong, pollOften).Should(Equal(order.NotRan))
		another := b.order(key)
		another.Call.Body = []byte("another request")
		Expect(other.place(another).Refusal).To(BeNil())
		waiting.readsCut.Store(false)
		var result order.Result
		Eventually(results, waitLong).Should(Receive(&result))
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Reason).To(Equal(refusal.KeyReused))
	})

	It("is recorded by an owner that could not append while others wrote very much", func() {
		b := newBed()
		b.snapshotEvery = 1 << 20
		nodes := b.startNodes(2)
		owner, others := b.ownerOf(key, nodes)
		owner.onStep(func(at string) {
			if at == beforeOutcome {
				owner.appendsCut.Store(true)
			}
		})
		Expect(owner.place(b.order(key)).Refusal).To(BeNil())
		b.fill(order.SlotOf(b.order(key).Key), 40_000)
		owner.onStep(nil)
		owner.appendsCut.Store(false)
		Eventually(b.stateOf(others[0], key), waitLong, pollOften).Should(Equal(order.Ran))
	})

	It("is asked for again, not run again, when its owner's answer is lost", func() {
		b := newBed()
		nodes := b.startNodes(3)
		owner, others := b.ownerOf(key, nodes)
		owner.losesAnswers.Store(true)
		Expect(others[0].place(b.order(key)).Refusal).To(BeNil())
		Expect(b.service.RunsOf(key)).To(Equal(1))
		b.serviceServer.Kill()
		lost := b.keyOwnedBy(owner, nodes)
		Expect(isUnknown(others[0].place(b.order(lost)))).To(BeTrue())
		Expect(b.service.RunsOf(lost)).To(BeZero())
	})
})
