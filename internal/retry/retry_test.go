package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/retry"
)

var _ = Describe("Decide", func() {
	now := time.Unix(1000, 0)
	failure := func() retry.Failure {
		return retry.Failure{Attempts: 1, Now: now, Deadline: now.Add(time.Minute)}
	}

	It("allows a retry only before the deadline", func() {
		f := failure()
		_, denial := retry.Decide(f, retry.NewBudget(0.2, 50), 0.5)
		Expect(denial).To(Equal(retry.Allowed))
		f.Deadline = now.Add(time.Millisecond)
		_, denial = retry.Decide(f, retry.NewBudget(0.2, 50), 0.5)
		Expect(denial).To(Equal(retry.NoTime))
		f.Attempts = retry.MaxAttempts
		_, denial = retry.Decide(f, retry.NewBudget(0.2, 50), 0.5)
		Expect(denial).To(Equal(retry.NoAttempts))
	})

	It("does not restart an answer that was partly delivered unless another group can continue it", func() {
		f := failure()
		f.Delivered = true
		_, denial := retry.Decide(f, retry.NewBudget(0.2, 50), 0)
		Expect(denial).To(Equal(retry.Delivered))
		f.Continuable = true
		_, denial = retry.Decide(f, retry.NewBudget(0.2, 50), 0)
		Expect(denial).To(Equal(retry.Allowed))
	})

	It("limits retries to a share of the successes", func() {
		budget := retry.NewBudget(0.2, 50)
		for budget.Take() {
		}
		for range 100 {
			budget.Earn()
		}
		granted := 0
		for budget.Take() {
			granted++
		}
		Expect(granted).To(Equal(20))
		_, denial := retry.Decide(failure(), budget, 0)
		Expect(denial).To(Equal(retry.NoBudget))
	})

	It("spreads delays from zero to a limit that grows with the attempts", func() {
		Expect(retry.Delay(1, 0)).To(BeZero())
		Expect(retry.Delay(2, 0.999)).To(BeNumerically(">", retry.Delay(1, 0.999)))
		Expect(retry.Delay(60, 0.999)).To(BeNumerically("<", time.Second))
	})

	It("rules out that a request ran only for the reasons Unreachable and NotRun", func() {
		for _, reason := range retry.Reasons {
			proof := reason == retry.Unreachable || reason == retry.NotRun
			Expect(reason.MayHaveRun()).To(Equal(!proof), string(reason))
		}
	})

	It("treats an unknown failure as one in which the request may have run", func() {
		Expect(retry.ReasonOf(&endpoint.BrokenError{}).MayHaveRun()).To(BeTrue())
		Expect(retry.ReasonOf(&endpoint.BrokenError{Err: &endpoint.NotRunError{}}).MayHaveRun()).To(BeTrue())
		Expect(retry.ReasonOf(&endpoint.BrokenError{Err: &endpoint.UnreachableError{}}).MayHaveRun()).To(BeTrue())
		Expect(retry.ReasonOf(&endpoint.AttemptLostError{}).MayHaveRun()).To(BeTrue())
		Expect(retry.ReasonOf(&endpoint.NotRunError{}).MayHaveRun()).To(BeFalse())
		Expect(retry.ReasonOf(&endpoint.UnreachableError{}).MayHaveRun()).To(BeFalse())
	})
})
