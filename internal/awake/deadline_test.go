package awake_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
)

var _ = Describe("A deadline", func() {
	start := time.Unix(1000, 0)
	// passedAt looks at a deadline after each of the pauses, again and again, and returns when it has passed.
	passedAt := func(at time.Duration, pauses ...time.Duration) time.Duration {
		deadline := awake.NewDeadline(start.Add(at))
		now := start
		for i := 0; !deadline.Passed(now); i++ {
			now = now.Add(pauses[min(i, len(pauses)-1)])
		}
		return now.Sub(start)
	}
	const look = 20 * time.Millisecond

	It("passes a margin after its time while the process runs", func() {
		Expect(passedAt(100*time.Millisecond, look)).To(Equal(140 * time.Millisecond))
	})

	// Guards against decisions on waking, before what arrived meanwhile has been read.
	It("does not pass in the first looks after a standstill, however long", func() {
		Expect(passedAt(100*time.Millisecond, look, 5*time.Second, look)).To(Equal(5060 * time.Millisecond))
		Expect(passedAt(100*time.Millisecond, 100*time.Millisecond, 5*time.Second, look)).To(Equal(5120*time.Millisecond), "a standstill just after its time")
		Expect(passedAt(100*time.Millisecond, 100*time.Millisecond, 20*time.Millisecond, 5*time.Second, look)).To(Equal(5140*time.Millisecond), "a standstill at the end of the margin")
	})

	It("passes in a process that stands still again and again", func() {
		Expect(passedAt(100*time.Millisecond, 100*time.Millisecond)).To(Equal(300 * time.Millisecond))
	})
})
