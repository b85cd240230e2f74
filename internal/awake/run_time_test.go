package awake_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
)

var _ = Describe("A run time", func() {
	const length = 20 * time.Millisecond
	start := time.Unix(1000, 0)
	// passedAt looks at a run time after each of the pauses, the last again and again, and returns when it has passed.
	passedAt := func(pauses ...time.Duration) time.Duration {
		limit := awake.NewRunTime(length, start)
		now := start
		for i := 0; ; i++ {
			now = now.Add(pauses[min(i, len(pauses)-1)])
			if limit.Passed(now) {
				return now.Sub(start)
			}
		}
	}
	const look = length / 4

	It("passes by the clock while the process runs, also with looks that are a little late", func() {
		Expect(awake.NewRunTime(length, start).Interval()).To(Equal(look))
		Expect(passedAt(look)).To(Equal(length))
		Expect(passedAt(7 * time.Millisecond)).To(Equal(21 * time.Millisecond))
	})

	// Guards against a sound dispatcher that is not asked because the caller's own process was late.
	DescribeTable("does not pass by a standstill", func(passes time.Duration, pauses ...time.Duration) {
		Expect(passedAt(pauses...)).To(Equal(passes))
	},
		Entry("at once after the beginning", 520*time.Millisecond, 500*time.Millisecond, look),
		Entry("just after a look", 525*time.Millisecond, look, 505*time.Millisecond, look),
		Entry("shorter than the time itself", 35*time.Millisecond, 15*time.Millisecond, look),
	)

	It("passes in a process that stands still again and again, and whose clock goes back", func() {
		Expect(passedAt(100 * time.Millisecond)).To(Equal(800 * time.Millisecond))
		Expect(passedAt(-time.Hour, look)).To(Equal(length - time.Hour))
	})
})

var _ = Describe("A context with a run time", func() {
	It("ends once the process has run for it, with its cause, and is cancelled", func() {
		began := time.Now()
		ctx, cancel := awake.WithRunTime(context.Background(), 20*time.Millisecond)
		defer cancel()
		Eventually(ctx.Done(), "5s").Should(BeClosed())
		Expect(time.Since(began)).To(BeNumerically(">=", 20*time.Millisecond))
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))

		ctx, cancel = awake.WithRunTime(context.Background(), 20*time.Millisecond)
		cancel()
		Expect(ctx.Err()).To(MatchError(context.Canceled))
		Consistently(ctx.Err, "60ms").Should(MatchError(context.Canceled))
	})
})
