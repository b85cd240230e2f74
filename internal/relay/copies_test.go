package relay

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

var _ = Describe("Copies of a request", func() {
	It("share a group in bounded numbers, and none once they have ended or may not join", func() {
		c := newCopies()
		room := func(fleet.FencingNumber) bool { return true }
		var ends []func()
		begin := func(fingerprint uint64, chosen fleet.FencingNumber, joinable func(fleet.FencingNumber) bool) fleet.FencingNumber {
			group, end := c.begin(fingerprint, chosen, joinable)
			ends = append(ends, end)
			return group
		}
		for i := range copiesTogether {
			Expect(begin(7, fleet.FencingNumber(i+1), room)).To(BeEquivalentTo(1))
		}
		ends[0]()
		ends = ends[1:]
		Expect(begin(7, 19, room)).To(BeEquivalentTo(1))
		Expect(begin(7, 20, room)).To(BeEquivalentTo(20))
		Expect(begin(7, 21, room)).To(BeEquivalentTo(20))
		Expect(begin(8, 22, room)).To(BeEquivalentTo(22))
		Expect(begin(7, 23, func(fleet.FencingNumber) bool { return false })).To(BeEquivalentTo(23))
		for _, end := range ends {
			end()
		}
		Expect(c.places).To(BeEmpty())
		Expect(begin(7, 30, room)).To(BeEquivalentTo(30))
	})
})
