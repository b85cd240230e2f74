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

var _ = ginkgo.Describe("A stream that adopted a state while the log was away", func() {
	var log *fakes.Log
	var source, starting *Stream[*listFold]
	var away atomic.Bool

	ginkgo.BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		source = runStream(newHooked(log), newListFold(), testOptions("a"))
		for _, value := range []int{1, 2, 3} {
			propose(source, value)
		}
		away.Store(true)
		client := newHooked(log)
		client.hook(nil, func(infra.Offset, int) error {
			if away.Load() {
				return &infra.UnavailableError{Operation: "read"}
			}
			return nil
		})
		options := testOptions("b")
		options.SnapshotAge = time.Millisecond
		starting = runStream(client, newListFold(), options)
		adopt(starting, source)
	})

	ginkgo.It("knows it, proposes nothing, and goes on from there", func() {
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
		away.Store(false)
		propose(source, 5)
		propose(starting, 6)
		Eventually(func() []int { return valuesOf(source) }, waitLong, waitPoll).Should(Equal([]int{1, 2, 3, 5, 6}))
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3, 5, 6}))
	})

	ginkgo.It("takes a higher one, and none once it was read", func() {
		old, err := source.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		propose(source, 4)
		adopt(starting, source)
		Expect(starting.Adopt(old)).To(BeFalse())
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3, 4}))
		away.Store(false)
		Expect(starting.WaitBooted(context.Background())).To(Succeed())
		ahead, err := Marshal(snapshot{AsOf: 1 << 20})
		Expect(err).NotTo(HaveOccurred())
		Expect(starting.Adopt(ahead)).To(BeFalse())
	})

	ginkgo.DescribeTable("refuses a log that contradicts it", func(change func(end infra.Offset), kind any) {
		end := starting.Next()
		change(end)
		away.Store(false)
		Eventually(starting.Refused, waitLong, waitPoll).Should(BeAssignableToTypeOf(kind))
		Consistently(starting.Booted, 100*time.Millisecond, waitPoll).Should(BeFalse())
		Expect(valuesOf(starting)).To(Equal([]int{1, 2, 3}))
	},
		ginkgo.Entry("by ending below it", func(end infra.Offset) { log.Truncate(testStream, end-1) }, &RegressedError{}),
		ginkgo.Entry("by another record at its end", func(end infra.Offset) {
			log.Truncate(testStream, end-1)
			log.Append(testStream, [][]byte{rawRecord("c", 1, end-2, 8)})
		}, &RewrittenError{}),
	)

	ginkgo.It("confirms nothing by a reading that began before", func() {
		other := New(newHooked(log), testStream, newListFold(), testOptions("d"))
		adoptions := other.adoptions.Load()
		adopt(other, source)
		other.noteConfirmed(other.Next(), time.Now(), adoptions)
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
