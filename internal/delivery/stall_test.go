package delivery

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A stall", func() {
	// stalledAfter returns the look that finds a connection stalled, 0 if none does.
	stalledAfter := func(looks ...[2]int) int {
		var s stall
		for i, l := range looks {
			if s.look(l[0], uint64(l[1])) {
				return i + 1
			}
		}
		return 0
	}
	same := func(count int) (looks [][2]int) {
		for range count {
			looks = append(looks, [2]int{100, 7})
		}
		return looks
	}
	It("is found after several looks without an acknowledgement", func() {
		Expect(stalledAfter(same(stallLooks - 1)...)).To(BeZero())
		Expect(stalledAfter(same(stallLooks)...)).To(Equal(stallLooks))
	})
	It("is over with an acknowledgement, of a part too", func() {
		Expect(stalledAfter(append(append(same(stallLooks-1), [2]int{60, 47}), same(stallLooks-1)...)...)).To(BeZero())
		Expect(stalledAfter(append(append(same(stallLooks-1), [2]int{0, 107}), same(stallLooks-1)...)...)).To(BeZero())
	})
})
