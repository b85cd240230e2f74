package exchange

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The events of a stream", func() {
	It("are not skipped by an attempt that follows one whose events are out of order", func() {
		buffer := eventBuffer{lastID: "4"}
		forwarded, err := buffer.add([]byte("id: 5\n\nid: 6\n\nid: 8\n\n"))
		Expect(forwarded).To(BeEmpty())
		Expect(err).To(HaveOccurred())
		Expect(buffer.lastID).To(Equal("4"), "events 5 and 6 were not forwarded")
	})

	It("are complete wherever reads divide them", func() {
		stream := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		for split := range len(stream) {
			var buffer eventBuffer
			first, err := buffer.add([]byte(stream[:split]))
			Expect(err).NotTo(HaveOccurred())
			rest, err := buffer.add([]byte(stream[split:]))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(first)+string(rest)).To(Equal(stream), "divided at %d", split)
			Expect(buffer.hasPartial()).To(BeFalse())
		}
	})
})
