package order_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

// slotFold applies records to a Fold at consecutive offsets.
type slotFold struct {
	*order.Fold
	next infra.Offset
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

// tick applies a tick of each writer at the given time of the writer's clock.
func (f *slotFold) tick(at time.Duration, writers ...string) {
	GinkgoHelper()
	for _, writer := range writers {
		Expect(f.apply(writer, at, order.KindTick, order.Tick{})).To(Succeed())
	}
}

// tickAll applies a tick of each writer; clocks holds the offset of its clock.
func (f *slotFold) tickAll(at time.Duration, clocks map[string]time.Duration) {
	GinkgoHelper()
	for _, writer := range slices.Sorted(maps.Keys(clocks)) {
		f.tick(at+clocks[writer], writer)
	}
}

func claimOf(key order.Key) order.Claim {
	return order.Claim{Key: key, DeadlineMillis: time.Minute.Milliseconds(), LifetimeMillis: time.Hour.Milliseconds(), Attempt: 1}
}

var _ = Describe("Fold", func() {
	const key order.Key = "k"

	It("retains a key for its lifetime despite clocks that are wrong or stepped once, and drops it afterwards", func() {
		f := newSlotFold()
		clocks := map[string]time.Duration{"ahead/1": 9000 * time.Hour, "ahead/2": 9000 * time.Hour, "ahead-too/1": 9001 * time.Hour, "behind/1": -9000 * time.Hour}
		f.tick(0, "a/1", "b/1")
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		f.tickAll(0, clocks)
		late := claimOf("other")
		late.DeadlineMillis -= 9000 * time.Hour.Milliseconds()
		Expect(f.apply("behind/1", -9000*time.Hour, order.KindClaim, late)).To(Succeed())
		for at := time.Duration(0); at <= 59*time.Minute; at += 10 * time.Minute {
			f.tickAll(at, clocks)
			f.tick(at, "a/1", "b/1")
			Expect(f.apply("b/1", at, order.KindClaim, claimOf(key))).NotTo(Succeed())
		}
		f.tick(9000*time.Hour, "a/1", "b/1")
		Expect(f.apply("late/1", 59*time.Minute, order.KindClaim, claimOf(key))).NotTo(Succeed())
		Expect(f.Len()).To(Equal(2))
		for at := time.Duration(0); at <= 3*time.Hour; at += 10 * time.Minute {
			f.tick(9000*time.Hour+at, "a/1", "b/1")
		}
		Expect(f.Len()).To(BeZero())
	})

	It("retains a key for the longest lifetime that a service may declare", func() {
		f := newSlotFold()
		declared := claimOf(key)
		declared.LifetimeMillis = (366 * 24 * time.Hour).Milliseconds()
		Expect(f.apply("a/1", 0, order.KindClaim, declared)).To(Succeed())
		record, _ := f.Find(key)
		Expect(record.ExpiresMillis).To(BeNumerically(">=", declared.LifetimeMillis))
	})

	It("drops the keys of a slot with a single writing daemon one day late", func() {
		f := newSlotFold()
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		for at := time.Duration(0); at < 25*time.Hour; at += 10 * time.Minute {
			f.tick(at, "a/1")
		}
		Expect(f.Len()).To(Equal(1))
		for at := 25 * time.Hour; at < 28*time.Hour; at += 10 * time.Minute {
			f.tick(at, "a/1")
		}
		Expect(f.Len()).To(BeZero())
	})

	It("retains a key until its claim can be marked as unclear, even if its lifetime is shorter", func() {
		f := newSlotFold()
		short := claimOf(key)
		short.LifetimeMillis = 1
		Expect(f.apply("a/1", 0, order.KindClaim, short)).To(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindTick, order.Tick{})).To(Succeed())
		Expect(f.apply("c/1", 2*time.Minute, order.KindTick, order.Tick{})).To(Succeed())
		Expect(f.apply("b/1", 2*time.Minute, order.KindClaim, claimOf(key))).NotTo(Succeed())
	})

	It("drops the same keys at the same offset after it is restored from a snapshot", func() {
		f := newSlotFold()
		Expect(f.apply("a/1", 0, order.KindClaim, claimOf(key))).To(Succeed())
		Expect(f.apply("a/1", time.Second, order.KindOutcome, order.Outcome{Key: key, Claim: 1, State: order.NotRan})).To(Succeed())
		Expect(f.apply("b/1", time.Minute, order.KindClaim, claimOf(key))).To(Succeed())
		data, err := f.Encode()
		Expect(err).NotTo(HaveOccurred())
		restored := &slotFold{Fold: order.NewFold(), next: f.next}
		Expect(restored.Decode(data)).To(Succeed())
		Expect(restored.Encode()).To(Equal(data))
		for at := time.Minute; at <= 3*time.Hour; at += 7 * time.Minute {
			for _, writer := range []string{"a/1", "b/1"} {
				f.tick(at, writer)
				restored.tick(at, writer)
				Expect(restored.Len()).To(Equal(f.Len()))
			}
		}
		Expect(f.Len()).To(BeZero())
		one, _ := f.Encode()
		other, _ := restored.Encode()
		Expect(one).To(Equal(other))
	})

	It("encodes its state at the time of Freeze despite records applied later", func() {
		f := newSlotFold()
		for i := range 2000 {
			Expect(f.apply("a/1", 0, order.KindClaim, claimOf(order.Key(fmt.Sprint(i))))).To(Succeed())
		}
		before, err := f.Encode()
		Expect(err).NotTo(HaveOccurred())
		encode := f.Freeze()
		for i := range 2000 {
			Expect(f.apply("a/1", 0, order.KindOutcome, order.Outcome{Key: order.Key(fmt.Sprint(i)), Claim: infra.Offset(i + 1), State: order.Ran})).To(Succeed())
		}
		f.tick(time.Minute, "b/1")
		frozen, err := encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(frozen, before)).To(BeTrue())
		after, err := f.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(frozen, after)).To(BeFalse())
	})

	It("accepts outcomes only from the claimant and never grants a key again that an operator closed", func() {
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

	It("rejects records that refer to an earlier claim of the key", func() {
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
