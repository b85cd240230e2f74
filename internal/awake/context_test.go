package awake_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
)

var _ = Describe("A context with a deadline", func() {
	It("ends a margin after it, and those made from it with its cause", func() {
		began := time.Now()
		ctx, cancel := awake.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		child, cancelChild := context.WithCancel(ctx)
		defer cancelChild()
		Eventually(child.Done(), "5s").Should(BeClosed())
		Expect(time.Since(began)).To(BeNumerically(">=", 50*time.Millisecond+awake.Margin))
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
		Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(context.Cause(child)).To(MatchError(context.DeadlineExceeded))
	})

	It("ends at once after it", func() {
		ctx, cancel := awake.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
		defer cancel()
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
	})

	It("tells no deadline, by which connections would go", func() {
		ctx, cancel := awake.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		_, has := ctx.Deadline()
		Expect(has).To(BeFalse())
	})

	It("ends with its parent, for the same cause", func() {
		left := errors.New("caller left")
		parent, cancelParent := context.WithCancelCause(context.Background())
		ctx, cancel := awake.WithTimeout(parent, time.Hour)
		defer cancel()
		cancelParent(left)
		Expect(ctx.Err()).To(MatchError(context.Canceled))
		Expect(context.Cause(ctx)).To(Equal(left))
		cancel()
		Expect(context.Cause(ctx)).To(Equal(left))
	})

	It("is cancelled", func() {
		ctx, cancel := awake.WithTimeout(context.Background(), 10*time.Millisecond)
		cancel()
		Expect(ctx.Err()).To(MatchError(context.Canceled))
		Consistently(ctx.Err, "100ms").Should(MatchError(context.Canceled))
	})
})
