package admit

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

var _ = Describe("Allot", func() {
	It("allots exactly the whole capacity for any demands", func() {
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1))
		for range 2000 {
			daemons, teams := 1+random.IntN(9), 1+random.IntN(6)
			capacity := random.IntN(200)
			demands := make([]Demand, teams)
			total := 0
			for i := range demands {
				demands[i] = Demand{Team: fleet.TeamName(rune('a' + i)), Share: float64(random.IntN(5)), ByDaemon: make([]int, daemons)}
				for d := range daemons {
					demands[i].ByDaemon[d] = random.IntN(40)
				}
				total += demands[i].total()
			}
			slots, allotted := 0, 0
			for self := range daemons {
				allotment := Allot(capacity, daemons, self, demands, 3)
				slots += allotment.Slots
				for _, count := range allotment.Teams {
					allotted += count
				}
			}
			Expect(slots).To(Equal(capacity))
			Expect(allotted).To(Equal(min(capacity, total)))
		}
	})

	It("gives each team its share and lends unused capacity", func() {
		demands := []Demand{
			{Team: "a", Share: 3, ByDaemon: []int{100, 0}},
			{Team: "b", Share: 1, ByDaemon: []int{50, 50}},
			{Team: "c", Share: 4, ByDaemon: []int{0, 0}},
		}
		first, second := Allot(80, 2, 0, demands, 0), Allot(80, 2, 1, demands, 0)
		Expect(first.Teams).To(Equal(map[fleet.TeamName]int{"a": 60, "b": 10, "c": 0}))
		Expect(second.Teams).To(Equal(map[fleet.TeamName]int{"a": 0, "b": 10, "c": 0}))
	})

	It("limits a daemon without live peers to its even part", func() {
		now := time.Unix(1000, 0)
		p := newPeers("a", 4)
		Expect(p.usableCapacity(100, now)).To(Equal(25))
		for _, id := range []fleet.DaemonID{"b", "c", "d", "e"} {
			p.setUsage(id, Usage{}, now)
		}
		Expect(p.usableCapacity(100, now)).To(Equal(100))
		Expect(p.usableCapacity(100, now.Add(time.Hour))).To(Equal(20))
		p.setUsage("b", Usage{}, now.Add(5*time.Second))
		Expect(p.usableCapacity(100, now.Add(6*time.Second))).To(Equal(40))
		p.setUsage("b", Usage{}, now.Add(20*time.Second))
		Expect(p.usableCapacity(100, now.Add(20*time.Second))).To(Equal(100))
	})

	It("raises the part of an isolated daemon gradually and drops it at once when others use the capacity", func() {
		ramp := isolationRamp{}
		now := time.Unix(1000, 0)
		Expect(ramp.grow(100, 0, 0, now)).To(BeZero())
		Expect(ramp.grow(100, 50, 50, now.Add(4*time.Second))).To(BeNumerically("~", 0.2, 0.01))
		Expect(ramp.grow(100, 97, 95, now.Add(12*time.Second))).To(BeNumerically("~", 0.6, 0.01))
		Expect(ramp.grow(100, 97, 50, now.Add(13*time.Second))).To(BeZero())
	})
})
