package capacity_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/capacity"
)

var _ = Describe("Fit", func() {
	It("returns the line through collinear points", func() {
		line, err := capacity.Fit([]capacity.Point{{Size: 1, Cost: 5}, {Size: 2, Cost: 7}, {Size: 4, Cost: 11}})
		Expect(err).NotTo(HaveOccurred())
		Expect(line.Base).To(BeNumerically("~", 3, 1e-9))
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.Residual).To(BeNumerically("~", 0, 1e-9))
		Expect(line.At(10)).To(BeNumerically("~", 23, 1e-9))
	})

	It("reports deviations from the line as the residual", func() {
		line, err := capacity.Fit([]capacity.Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 4}, {Size: 3, Cost: 1}})
		Expect(err).NotTo(HaveOccurred())
		Expect(line.Residual).To(BeNumerically(">", 0.5))
	})

	It("rejects points with only two distinct sizes", func() {
		_, err := capacity.Fit([]capacity.Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}, {Size: 2, Cost: 3}})
		Expect(err).To(MatchError(&capacity.TooFewPointsError{Sizes: 2}))
	})
})
