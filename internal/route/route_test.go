package route_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/route"
	"github.com/plantainmux/plantainmux/internal/view"
)

var now = time.Unix(1000, 0)

func serving(fencing fleet.FencingNumber, own, reported int) *view.Serving {
	s := &view.Serving{
		Group:      fleet.Group{Fencing: fencing, Model: "m", Adapters: []string{"paper"}},
		Capacity:   10,
		Running:    reported,
		ValidUntil: now.Add(time.Second),
		Load:       &view.Load{},
	}
	for range own {
		s.Load.Begin()
	}
	return s
}

func best(prefix uint64, age time.Duration, groups ...*view.Serving) fleet.FencingNumber {
	picked, ok := route.PickBest(route.Score(groups, now.Add(-age), now), prefix)
	Expect(ok).To(BeTrue())
	return picked.Fencing
}

var _ = Describe("Filter", func() {
	It("omits groups of other models or adapters, unproven groups and excluded groups", func() {
		proven, late := serving(1, 0, 0), serving(2, 0, 0)
		late.ValidUntil = now
		other := serving(3, 0, 0)
		other.Model = "other"
		v := &view.View{Groups: []*view.Serving{proven, late, other, serving(4, 0, 0)}}
		r := &request.Request{Model: "m", Adapter: "paper"}
		Expect(route.Filter(v, r, map[fleet.FencingNumber]bool{4: true}, now)).To(Equal([]*view.Serving{proven}))
		r.Adapter = "unknown"
		Expect(route.Filter(v, r, nil, now)).To(BeEmpty())
	})
})

var _ = Describe("Score", func() {
	It("counts own requests immediately and discounts load reports by their age", func() {
		Expect(best(0, 0, serving(1, 3, 3), serving(2, 0, 2))).To(BeEquivalentTo(2))
		Expect(best(0, 0, serving(1, 3, 3), serving(2, 0, 5))).To(BeEquivalentTo(1))
		Expect(best(0, 2*time.Second, serving(1, 3, 3), serving(2, 0, 5))).To(BeEquivalentTo(2))
	})

	It("avoids a straggler and a group with a recent failure", func() {
		slow, fast := serving(1, 0, 0), serving(2, 1, 0)
		slow.Load.SawNextToken(90 * time.Millisecond)
		fast.Load.SawNextToken(30 * time.Millisecond)
		Expect(best(0, 0, slow, fast)).To(BeEquivalentTo(2))
		failed := serving(3, 0, 0)
		failed.Load.SawFailure(now.Add(-time.Second))
		Expect(best(0, 0, failed, fast)).To(BeEquivalentTo(2))
	})

	It("uses the free capacity of a slower group before it queues a request at a faster one", func() {
		slow, full := serving(1, 6, 0), serving(2, 10, 0)
		slow.Load.SawNextToken(40 * time.Millisecond)
		full.Load.SawNextToken(30 * time.Millisecond)
		Expect(best(0, 0, slow, full)).To(BeEquivalentTo(1))
	})
})

var _ = Describe("PickBest", func() {
	It("routes a prefix to the same group unless its expected wait exceeds the limit", func() {
		groups := []*view.Serving{serving(1, 4, 0), serving(2, 4, 0), serving(3, 4, 0)}
		groupCounts := map[fleet.FencingNumber]int{}
		for prefix := uint64(1); prefix <= 300; prefix++ {
			first := best(prefix, 0, groups...)
			Expect(best(prefix, 0, groups...)).To(Equal(first))
			groupCounts[first]++
		}
		Expect(groupCounts).To(HaveLen(3))
		preferred := best(7, 0, groups...)
		for range 4 {
			groups[preferred-1].Load.Begin()
		}
		Expect(best(7, 0, groups...)).NotTo(Equal(preferred))
	})

	It("prefers the group that caches more of the prompt, within the same limit", func() {
		groups := []*view.Serving{serving(1, 4, 0), serving(2, 5, 0), serving(3, 4, 0)}
		blocks := []uint64{11, 12, 13}
		pick := func() fleet.FencingNumber {
			scored := route.Score(groups, now, now)
			route.SetCachedBlocks(scored, blocks, now)
			picked, _ := route.PickBest(scored, 0)
			return picked.Fencing
		}
		Expect(pick()).To(BeEquivalentTo(1))
		groups[2].Load.Prompts.Learn(blocks[:1], nil, now)
		Expect(pick()).To(BeEquivalentTo(3))
		groups[1].Load.Prompts.Learn(blocks, nil, now)
		Expect(pick()).To(BeEquivalentTo(2))
		groups[1].Load.Begin() // 1.4 times the expected wait of the best group
		Expect(pick()).To(BeEquivalentTo(3))
	})
})
