package logstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

var _ = ginkgo.Describe("A stream that adopted a state while the log was unreachable", func() {
	var log *fakes.Log
	var running, starting *Stream[*listFold]
	var unreachable atomic.Bool

	ginkgo.BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		running = runStream(newHookedLog(log), newListFold(), testOptions("a"))
		for _, value := range []int{1, 2, 3} {
			propose(running, value)
		}
		unreachable.Store(true)
		client := newHookedLog(log)
		client.hook(nil, func(infra.Offset, int) error {
			if unreachable.Load() {
				return &infra.UnavailableError{Operation: "read"}
			}
			return nil
		})
		options := testOptions("b")
		options.SnapshotAge = time.Millisecond
		starting = runStream(client, newListFold(), options)
		adopt(starting, running)
	})

	ginkgo.It("has an unconfirmed state, proposes nothing, and continues from that state once the log can be read", func() {
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3}))
		Expect(starting.Known()).To(BeTrue())
		Expect(starting.Booted()).To(BeFalse())
		Expect(starting.ConfirmedAt().Unix()).To(BeZero())
		before := logEnd(log)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := starting.Propose(ctx, kindAdd, 4)
		Expect(err).To(HaveOccurred())
		Expect(logEnd(log)).To(Equal(before))
		unreachable.Store(false)
		propose(running, 5)
		propose(starting, 6)
		Eventually(func() []int { return valuesOf(running) }, eventuallyTimeout, pollInterval).Should(Equal([]int{1, 2, 3, 5, 6}))
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3, 5, 6}))
	})

	ginkgo.It("adopts a more recent state, but none once the log was read", func() {
		old, err := running.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		propose(running, 4)
		adopt(starting, running)
		Expect(starting.Adopt(old)).To(BeFalse())
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3, 4}))
		unreachable.Store(false)
		Expect(starting.WaitBooted(context.Background())).To(Succeed())
		ahead, err := Marshal(snapshot{AsOf: 1 << 20})
		Expect(err).NotTo(HaveOccurred())
		Expect(starting.Adopt(ahead)).To(BeFalse())
	})

	ginkgo.DescribeTable("rejects a log that contradicts the adopted state", func(alterLog func(end infra.Offset), kind any) {
		end := starting.Next()
		alterLog(end)
		unreachable.Store(false)
		Eventually(starting.Refused, eventuallyTimeout, pollInterval).Should(BeAssignableToTypeOf(kind))
		Consistently(starting.Booted, 100*time.Millisecond, pollInterval).Should(BeFalse())
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3}))
	},
		ginkgo.Entry("when the log ends before the adopted state", func(end infra.Offset) { log.Truncate(testStream, end-1) }, &RegressedError{}),
		ginkgo.Entry("when another record is at the last adopted offset", func(end infra.Offset) {
			log.Truncate(testStream, end-1)
			log.Append(testStream, [][]byte{rawRecord("c", 1, end-2, 8)})
		}, &RewrittenError{}),
	)

	ginkgo.It("is not confirmed by a read that began before the adoption", func() {
		other := New(newHookedLog(log), testStream, newListFold(), testOptions("d"))
		adoptions := other.adoptions.Load()
		adopt(other, running)
		other.advanceConfirmed(other.Next(), time.Now(), adoptions)
		other.markBooted(adoptions)
		Expect(other.ConfirmedAt().Unix()).To(BeZero())
		Expect(other.Booted()).To(BeFalse())
	})
})

func adopt(to, from *Stream[*listFold]) {
	state, err := from.Snapshot()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	Expect(to.Adopt(state)).To(BeTrue())
}
