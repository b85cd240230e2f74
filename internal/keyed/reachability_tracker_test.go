package keyed_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

// mute is a log that answers no read.
type mute struct{ keyed.Log }

func (mute) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (keyed.Page, error) {
	<-ctx.Done()
	return keyed.Page{}, ctx.Err()
}

var _ = Describe("Store reachability", func() {
	ctx := context.Background()
	var log *fakes.KeyedLog
	var tracker *keyed.ReachabilityTracker
	var standstills awake.Standstills
	read := func() { _, _ = tracker.Read(ctx, "keyed.t", 0, 0) }
	unreachable := func() bool { return tracker.Unreachable(time.Now()) }
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		standstills = awake.Standstills{Interval: 100 * time.Millisecond}
		tracker = keyed.NewReachabilityTracker(log, &standstills)
	})

	It("is lost when calls keep failing, and restored by the first answer", func() {
		log.SetDown(true)
		read()
		read()
		Expect(unreachable()).To(BeFalse(), "too early")
		Eventually(unreachable, "1s").Should(BeTrue())
		log.SetDown(false)
		Expect(unreachable()).To(BeTrue(), "no call has been made since")
		read()
		Expect(unreachable()).To(BeFalse())
	})

	It("is lost later after a single failure than after repeated ones", func() {
		log.SetDown(true)
		read()
		Consistently(unreachable, "700ms").Should(BeFalse())
		Eventually(unreachable, "1s").Should(BeTrue())
	})

	// Guards against a store that counts as lost on waking, as a call ran into its time limit with the answer unread.
	It("is not lost through a standstill of the process, before it has run and a call could be answered", func() {
		slept := time.Now()
		standstills.Look(slept)
		log.SetDown(true)
		read()
		woken := slept.Add(3 * time.Second)
		Expect(tracker.Unreachable(woken)).To(BeFalse())
		for at := woken; at.Before(woken.Add(time.Second)); at = at.Add(standstills.Interval) {
			standstills.Look(at)
		}
		Expect(tracker.Unreachable(woken.Add(time.Second))).To(BeTrue())
	})

	// Guards against a store that counts as lost soon after waking, by calls whose answers waited unread.
	It("is not lost through calls that end as the process wakes", func() {
		tracker = keyed.NewReachabilityTracker(mute{log}, &standstills)
		call := func() {
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			_, err := tracker.Read(short, "keyed.t", 0, 0)
			Expect(err).To(HaveOccurred())
		}
		for range 2 {
			standstills.Look(time.Now())
			call()
			standstills.Look(time.Now())
		}
		woken := time.Now()
		for ran := time.Duration(0); ran <= 2*time.Second; ran += standstills.Interval {
			standstills.Look(woken.Add(ran))
		}
		Expect(tracker.Unreachable(woken.Add(2 * time.Second))).To(BeFalse())
		call()
		call()
		Expect(unreachable()).To(BeTrue(), "the process ran")
	})

	It("is lost through refused appends, but not through appends without an answer or conflicts", func() {
		add := func() { _, _ = tracker.Append(ctx, "keyed.t", 0, []keyed.Record{{Key: "a"}}) }
		log.SetLost(true)
		add() // appended, but the answer is lost
		log.SetLost(false)
		add() // conflicts with the first append
		Consistently(unreachable, "1200ms").Should(BeFalse())
		log.SetDown(true)
		add()
		add()
		Eventually(unreachable, "1s").Should(BeTrue())
	})

	It("is not lost through a read that this daemon cancelled, but through a long poll that timed out", func() {
		cancelled, cancelRead := context.WithCancel(ctx)
		cancelRead()
		_, err := tracker.Read(cancelled, "keyed.t", 0, time.Second)
		Expect(err).To(HaveOccurred())
		Consistently(unreachable, "1200ms").Should(BeFalse())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = tracker.Read(short, "keyed.t", 0, time.Second)
		Expect(err).To(HaveOccurred())
		Eventually(unreachable, "2s").Should(BeTrue())
	})

	It("is not restored by reads through another daemon, and the store is not read while it is lost", func() {
		var peer keyed.Log = fakes.NewKeyedLog()
		through := &keyed.Fallback{Log: tracker, Reader: func() keyed.Log { return nil }, Peer: func() keyed.Log { return peer }, StoreUnreachable: unreachable}
		log.SetDown(true)
		for !unreachable() {
			_, err := through.Read(ctx, "keyed.t", 0, 0)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		before := log.Calls()
		_, err := through.Read(ctx, "keyed.t", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		peer = nil
		_, err = through.Read(ctx, "keyed.t", 0, 0)
		var notSent *keyed.StoreUnreachableError
		Expect(errors.As(err, &notSent)).To(BeTrue())
		Expect(log.Calls()).To(Equal(before))
		Expect(unreachable()).To(BeTrue())
	})
})
