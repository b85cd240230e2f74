package relay

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

var _ = Describe("Duplicate requests", func() {
	It("share a group up to a limit, and use the preferred group when none is in progress or joining is not allowed", func() {
		c := newDuplicates()
		always := func(fleet.FencingNumber) bool { return true }
		var ends []func()
		begin := func(fingerprint uint64, preferred fleet.FencingNumber, canJoin func(fleet.FencingNumber) bool) fleet.FencingNumber {
			group, end := c.begin(fingerprint, preferred, canJoin)
			ends = append(ends, end)
			return group
		}
		for i := range maxDuplicatesPerGroup {
			Expect(begin(7, fleet.FencingNumber(i+1), always)).To(BeEquivalentTo(1))
		}
		ends[0]()
		ends = ends[1:]
		Expect(begin(7, 19, always)).To(BeEquivalentTo(1))
		Expect(begin(7, 20, always)).To(BeEquivalentTo(20))
		Expect(begin(7, 21, always)).To(BeEquivalentTo(20))
		Expect(begin(8, 22, always)).To(BeEquivalentTo(22))
		Expect(begin(7, 23, func(fleet.FencingNumber) bool { return false })).To(BeEquivalentTo(23))
		for _, end := range ends {
			end()
		}
		Expect(c.groups).To(BeEmpty())
		Expect(begin(7, 30, always)).To(BeEquivalentTo(30))
	})
})
