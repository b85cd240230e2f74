package keyed_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

var _ = Describe("Store reachability", func() {
	ctx := context.Background()
	var log *fakes.KeyedLog
	var reach *keyed.Reach
	read := func() { _, _ = reach.Read(ctx, "keyed.t", 0, 0) }
	lost := func() bool { return reach.Lost(time.Now()) }
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		reach = keyed.NewReach(log)
	})

	It("is lost when calls keep failing, and restored by the first answer", func() {
		log.SetDown(true)
		read()
		read()
		Expect(lost()).To(BeFalse(), "too early")
		Eventually(lost, "1s").Should(BeTrue())
		log.SetDown(false)
		Expect(lost()).To(BeTrue(), "no call has been made since")
		read()
		Expect(lost()).To(BeFalse())
	})

	It("is lost later after a single failure than after repeated ones", func() {
		log.SetDown(true)
		read()
		Consistently(lost, "700ms").Should(BeFalse())
		Eventually(lost, "1s").Should(BeTrue())
	})

	It("is lost through refused appends, but not through appends without an answer or conflicts", func() {
		add := func() { _, _ = reach.Append(ctx, "keyed.t", 0, []keyed.Record{{Key: "a"}}) }
		log.SetLost(true)
		add() // appended, but the answer is lost
		log.SetLost(false)
		add() // conflicts with the first append
		Consistently(lost, "1200ms").Should(BeFalse())
		log.SetDown(true)
		add()
		add()
		Eventually(lost, "1s").Should(BeTrue())
	})

	It("is not lost through a read that this daemon cancelled, but through a long poll that timed out", func() {
		cancelled, cancelRead := context.WithCancel(ctx)
		cancelRead()
		_, err := reach.Read(cancelled, "keyed.t", 0, time.Second)
		Expect(err).To(HaveOccurred())
		Consistently(lost, "1200ms").Should(BeFalse())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = reach.Read(short, "keyed.t", 0, time.Second)
		Expect(err).To(HaveOccurred())
		Eventually(lost, "2s").Should(BeTrue())
	})

	It("is not restored by reads through another daemon, and the store is not read while it is lost", func() {
		var peer keyed.Log = fakes.NewKeyedLog()
		through := &keyed.Fallback{Log: reach, Reader: func() keyed.Log { return nil }, Peer: func() keyed.Log { return peer }, Lost: lost}
		log.SetDown(true)
		for !lost() {
			_, err := through.Read(ctx, "keyed.t", 0, 0)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		before := log.Calls()
		_, err := through.Read(ctx, "keyed.t", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		peer = nil
		_, err = through.Read(ctx, "keyed.t", 0, 0)
		var unreached *keyed.UnreachedError
		Expect(errors.As(err, &unreached)).To(BeTrue())
		Expect(log.Calls()).To(Equal(before))
		Expect(lost()).To(BeTrue())
	})
})
