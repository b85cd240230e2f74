package targetstats_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("The hold of an endpoint", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("lasts until the latest of the times that were asked for", func() {
		hold := targetstats.NewHolds().GetOrCreate("e", 1)
		Expect(hold.Remaining(at(0))).To(BeZero())
		hold.Extend(at(0), 2*time.Second)
		hold.Extend(at(100), 500*time.Millisecond)
		Expect(hold.Remaining(at(1500))).To(Equal(500 * time.Millisecond))
		hold.Extend(at(1500), time.Second)
		Expect(hold.Remaining(at(2400))).To(Equal(100 * time.Millisecond))
		Expect(hold.Remaining(at(2500))).To(BeZero())
	})

	It("belongs to one incarnation of the endpoint, whatever group that heads", func() {
		holds := targetstats.NewHolds()
		holds.GetOrCreate("e", 1).Extend(at(0), time.Second)
		Expect(holds.GetOrCreate("e", 1).Remaining(at(500))).NotTo(BeZero())
		Expect(holds.GetOrCreate("e", 2).Remaining(at(500))).To(BeZero())
	})

	It("is kept as long as it lasts, also while the endpoint is no target", func() {
		holds := targetstats.NewHolds()
		holds.GetOrCreate("e", 1).Extend(at(0), time.Second)
		holds.Retain(nil, at(500))
		Expect(holds.GetOrCreate("e", 1).Remaining(at(500))).NotTo(BeZero())
	})
})
