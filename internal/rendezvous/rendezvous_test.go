package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func nodeNames(count int) []string {
	nodes := make([]string, 0, count)
	for i := range count {
		nodes = append(nodes, fmt.Sprintf("node-%02d", i))
	}
	return nodes
}

var _ = Describe("Chosen", func() {
	It("agrees with Choose for any order of the nodes", func() {
		nodes := nodeNames(9)
		reversed := slices.Clone(nodes)
		slices.Reverse(reversed)
		for i := range 200 {
			key := fmt.Sprint(i)
			best := Choose(key, nodes, 2)
			Expect(Choose(key, reversed, 2)).To(Equal(best))
			for _, node := range nodes {
				Expect(Chosen(key, nodes, 2, node)).To(Equal(slices.Contains(best, node)))
			}
		}
		Expect(Chosen("key", nodes, 2, "not listed")).To(BeFalse())
		Expect(Chosen("key", nodes[:1], 2, nodes[0])).To(BeTrue())
	})

	It("moves only the keys of a removed node", func() {
		nodes := nodeNames(10)
		moved := 0
		for i := range 1000 {
			key := fmt.Sprint(i)
			before := Choose(key, nodes, 1)[0]
			after := Choose(key, nodes[:9], 1)[0]
			if before == nodes[9] {
				moved++
				continue
			}
			Expect(after).To(Equal(before))
		}
		Expect(moved).To(BeNumerically("~", 100, 40))
	})
})

func BenchmarkChosen(b *testing.B) {
	for _, count := range []int{8, 24, 47} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			nodes := nodeNames(count)
			b.ReportAllocs()
			for b.Loop() {
				Chosen("some-vm", nodes, 2, nodes[3])
			}
		})
	}
}
