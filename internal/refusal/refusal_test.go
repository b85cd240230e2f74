package refusal_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

var _ = Describe("Refusal", func() {
	It("reports that a refused request did not run", func() {
		r := refusal.New(refusal.Overloaded, 2*time.Second, "queue full")
		Expect(r.Outcome).To(Equal(refusal.NotRun))
		Expect(r.Status()).To(Equal(http.StatusTooManyRequests))
	})

	It("lists each reason only once", func() {
		seen := map[refusal.Reason]bool{}
		for _, reason := range refusal.Reasons {
			Expect(seen).NotTo(HaveKey(reason))
			seen[reason] = true
		}
	})
})
