package order_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// slotFold applies records to a fold, one offset after the other.
type slotFold struct {
	*order.Fold
	next platform.Offset
}

func newSlotFold() *slotFold { return &slotFold{Fold: order.NewFold(), next: 1} }

func (f *slotFold) apply(writer string, at time.Duration, kind logstream.Kind, body any) error {
	GinkgoHelper()
	encoded, err := logstream.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	position := logstream.Position{Offset: f.next, Time: time.UnixMilli(0).Add(at), Writer: writer}
	f.next++
	return f.Apply(position, kind, encoded)
}

func claimOf(key order.Key) order.Claim {
	return order.Claim{Key: key, DeadlineMillis: time.Minute.Milliseconds(), LifetimeMillis: time.Hour.Milliseconds(), Attempt: 1}
}

var _ = Describe("Fold", func() {
	const key order.Key = "k"

	It("keeps a key for its lifetime whatever one daemon's clock says", func() {
		f := newSlotFold()
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		Expect(f.apply("ahead/1", 9000*time.Hour, order.KindTick, order.Tick{})).To(Succeed())
		Expect(f.apply("ahead/2", 9000*time.Hour, order.KindTick, order.Tick{})).To(Succeed())
		Expect(f.apply("b/1", 59*time.Minute, order.KindClaim, claimOf(key))).NotTo(Succeed())
		Expect(f.apply("behind/1", -9000*time.Hour, order.KindClaim, claimOf("other"))).To(Succeed())
		Expect(f.apply("b/1", 61*time.Minute, order.KindTick, order.Tick{})).To(Succeed())
		_, kept := f.Find(key)
		Expect(kept).To(BeFalse())
		_, kept = f.Find("other")
		Expect(kept).To(BeTrue())
	})

	It("keeps a key at least until its claim can be doubted, however short its lifetime", func() {
		f := newSlotFold()
		short := claimOf(key)
		short.LifetimeMillis = 1
		Expect(f.apply("a/1", 0, order.KindClaim, short)).To(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindTick, order.Tick{})).To(Succeed())
		Expect(f.apply("c/1", 2*time.Minute, order.KindTick, order.Tick{})).To(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindClaim, claimOf(key))).NotTo(Succeed())
	})

	It("drops the same keys at the same offset after a snapshot", func() {
		f := newSlotFold()
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		Expect(f.apply("a/1", time.Second, order.KindOutcome, order.Outcome{Key: key, Claim: 1, State: order.NotRan})).To(Succeed())
		Expect(f.apply("b/1", time.Minute, order.KindClaim, claimOf(key))).To(Succeed())
		data, err := f.Encode()
		Expect(err).NotTo(HaveOccurred())
		restored := &slotFold{Fold: order.NewFold(), next: f.next}
		Expect(restored.Decode(data)).To(Succeed())
		Expect(restored.Encode()).To(Equal(data))
		for _, at := range []time.Duration{60 * time.Minute, 60*time.Minute + time.Second, 61 * time.Minute} {
			for _, writer := range []string{"a/1", "b/1"} {
				Expect(f.apply(writer, at, order.KindTick, order.Tick{})).To(Succeed())
				Expect(restored.apply(writer, at, order.KindTick, order.Tick{})).To(Succeed())
				Expect(restored.Len()).To(Equal(f.Len()))
			}
		}
		Expect(f.Len()).To(BeZero())
		one, _ := f.Encode()
		other, _ := restored.Encode()
		Expect(one).To(Equal(other))
	})

	It("lets only the claimant settle, and never runs again what an operator closed", func() {
		f := newSlotFold()
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		notRan := order.Outcome{Key: key, Claim: 1, State: order.NotRan}
		settlement := order.Settlement{Key: key, Claim: 1, Operator: "ana"}
		Expect(f.apply("b/1", 0, order.KindOutcome, notRan)).NotTo(Succeed())
		Expect(f.apply("b/1", 0, order.KindWithdrawal, order.Withdrawal{Key: key, Attempt: 1})).NotTo(Succeed())
		Expect(f.apply("b/1", time.Minute, order.KindDoubt, order.Doubt{Key: key, Claim: 1, By: "b"})).NotTo(Succeed())
		Expect(f.apply("b/1", time.Minute, order.KindSettlement, settlement)).NotTo(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindDoubt, order.Doubt{Key: key, Claim: 1, By: "b"})).To(Succeed())
		Expect(f.Unclear()).To(Equal(1))
		Expect(f.apply("b/1", 2*time.Minute, order.KindClaim, claimOf(key))).NotTo(Succeed())
		Expect(f.apply("b/1", 3*time.Minute, order.KindSettlement, settlement)).To(Succeed())
		Expect(f.apply("a/1", 4*time.Minute, order.KindOutcome, notRan)).NotTo(Succeed())
		Expect(f.apply("b/1", 4*time.Minute, order.KindClaim, claimOf(key))).NotTo(Succeed())
		Expect(f.Unclear()).To(BeZero())
		record, _ := f.Find(key)
		Expect(record.State).To(Equal(order.Closed))
		Expect(record.Operator).To(Equal("ana"))
		Expect(f.apply("a/1", 5*time.Minute, order.KindOutcome, order.Outcome{Key: key, Claim: 1, State: order.Ran})).To(Succeed())
	})

	It("takes no word on an earlier claim for one on the claim in force", func() {
		f := newSlotFold()
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		Expect(f.apply("a/1", 0, order.KindWithdrawal, order.Withdrawal{Key: key, Attempt: 1})).To(Succeed())
		again := claimOf(key)
		again.Attempt = 2
		Expect(f.apply("a/1", 0, order.KindClaim, again)).To(Succeed())
		Expect(f.apply("a/1", 0, order.KindOutcome, order.Outcome{Key: key, Claim: 1, State: order.NotRan})).NotTo(Succeed())
		Expect(f.apply("a/1", 0, order.KindWithdrawal, order.Withdrawal{Key: key, Attempt: 1})).NotTo(Succeed())
		Expect(f.apply("a/1", 0, order.KindDirectRun, order.DirectRun{Claim: claimOf(key)})).NotTo(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindDoubt, order.Doubt{Key: key, Claim: 1})).NotTo(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindDoubt, order.Doubt{Key: key, Claim: 3})).To(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindSettlement, order.Settlement{Key: key, Claim: 1})).NotTo(Succeed())
		Expect(f.apply("a/1", 2*time.Minute, order.KindOutcome, order.Outcome{Key: key, Claim: 3, State: order.Ran})).To(Succeed())
		Expect(f.apply("a/1", 2*time.Minute, order.KindWithdrawal, order.Withdrawal{Key: key, Attempt: 2})).NotTo(Succeed())
		record, _ := f.Find(key)
		Expect(record.State).To(Equal(order.Ran))
	})
})
