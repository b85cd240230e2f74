package formation_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

var _ = Describe("Groups that follow demand", func() {
	wave := func(amplitude float64, period time.Duration, phase float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			return 1 + amplitude*math.Sin(2*math.Pi*(at.Seconds()/period.Seconds()+phase))
		}
	}
	expectGroups := func(s *demandSite, large, small int) {
		GinkgoHelper()
		gotLarge, gotSmall := s.groups()
		Expect([]int{gotLarge, gotSmall}).To(Equal([]int{large, small}))
	}

	It("turns one larger group of the build farm into two smaller ones at the mean demand, and then stops", func() {
		s := buildFarm()
		expectGroups(s, 6, 12)
		s.run(11*time.Second, steady(1), steady(1))
		Expect(s.shifts).To(BeEmpty(), "demand has paid for it for too short a time")
		s.run(3*time.Minute, steady(1), steady(1))
		Expect(s.shifts).To(HaveLen(1))
		shift := s.shifts[0]
		Expect(shift.ToBefore).To(BeNumerically("~", 0.82, 0.01), "315 of the 385 requests per second that eleven of twelve groups complete")
		Expect(max(shift.FromAfter, shift.ToAfter)).To(BeNumerically("~", 0.69, 0.01))
		expectGroups(s, 5, 14)
	})

	It("makes the same change, and no other, in waves and bursts of the build farm", func() {
		s := buildFarm()
		burst := func(at time.Duration) float64 {
			if at%(30*time.Second) < 8*time.Second {
				return 1.8
			}
			return wave(0.2, 11*time.Second, 0)(at)
		}
		s.run(4*time.Minute, burst, burst)
		Expect(len(s.shifts)).To(BeNumerically("<=", 1))
	})

	It("turns four smaller groups of the book sellers into one larger one together when that is short of capacity", func() {
		s := bookSellers()
		expectGroups(s, 6, 24)
		s.run(time.Minute, steady(1.55), steady(0.8))
		Expect(s.shifts).NotTo(BeEmpty())
		Expect(s.shifts[0].Close).To(HaveLen(4))
		Expect(s.shifts[0].Form).To(Equal(1))
		large, small := s.groups()
		Expect(large).To(BeNumerically(">", 6))
		Expect(4*(large-6)).To(Equal(24-small), "no endpoint is left over")
		made := len(s.shifts)
		s.run(2*time.Minute, steady(1.55), steady(0.8))
		Expect(s.shifts).To(HaveLen(made))
	})

	It("goes back when demand goes back", func() {
		s := bookSellers()
		s.run(time.Minute, steady(1.7), steady(0.8))
		large, _ := s.groups()
		Expect(large).To(BeNumerically(">", 6))
		s.run(90*time.Second, steady(0.5), steady(1.4))
		after, _ := s.groups()
		Expect(after).To(BeNumerically("<", large))
	})

	DescribeTable("make no change when demand swings faster than it is smoothed", func(site func() *demandSite, amplitude float64, period time.Duration) {
		s := site()
		s.run(40*time.Second, steady(1), steady(1))
		made := len(s.shifts)
		s.run(3*time.Minute, wave(amplitude, period, 0), wave(amplitude, period, 0.5))
		Expect(s.shifts).To(HaveLen(made))
	},
		Entry("waves of the build farm that alternate between the models", buildFarm, 0.2, 11*time.Second),
		Entry("waves of the book sellers that alternate between the models", bookSellers, 0.55, 15*time.Second),
		Entry("all demand to and fro within 6 s", buildFarm, 0.9, 6*time.Second),
	)

	It("changes one domain at a time, when planners see different demand", func() {
		s := bookSellers()
		s.planners = nil
		for _, domain := range []string{"d0", "d1", "d2", "d3", "d4", "d5"} {
			planner := s.addPlanner(func(name string) bool { return name == domain })
			planner.seen = 0.8 + 0.08*float64(domain[1]-'0')
		}
		last := -1
		var changed []time.Time
		for range 2 * 120 {
			s.run(siteStep, steady(2), steady(0.6))
			if len(s.shifts) != last {
				last = len(s.shifts)
				changed = append(changed, s.in.Now)
			}
		}
		Expect(len(s.shifts)).To(BeNumerically(">=", 2))
		for i := 2; i < len(changed); i++ {
			Expect(changed[i].Sub(changed[i-1])).To(BeNumerically(">=", 10*time.Second))
		}
		for _, shift := range s.shifts {
			Expect(shift.To).To(Equal("large"), "planners undo each other's changes")
		}
	})

	It("lets the closed group complete its requests, and a planner that knows nothing complete the change of one that was lost", func() {
		s := buildFarm()
		for len(s.shifts) == 0 {
			s.run(siteStep, steady(1), steady(1))
			Expect(s.in.Now.Sub(s.start)).To(BeNumerically("<", time.Minute))
		}
		s.planners = nil // lost right after its records were written
		s.addPlanner(func(string) bool { return true })
		s.executed = nil
		at := s.in.Now
		for {
			large, small := s.groups()
			if large == 5 && small == 14 {
				break
			}
			s.run(siteStep, steady(1), steady(1))
			Expect(s.in.Now.Sub(at)).To(BeNumerically("<", 6*time.Second))
		}
		Expect(s.executed).To(ContainElement(HaveField("Operation", formation.Drain)))
		Expect(s.in.Now.Sub(at)).To(BeNumerically(">=", 2500*time.Millisecond), "streams of the closed group were cut")
		s.run(time.Minute, steady(1), steady(1))
		Expect(s.shifts).To(HaveLen(1))
	})

	It("closes no group while the store is away", func() {
		s := buildFarm()
		s.storeOut = true
		s.executed = nil
		s.run(time.Minute, steady(1), steady(1))
		for _, order := range s.executed {
			Expect(order.Operation).NotTo(BeElementOf(formation.Drain, formation.Leave))
		}
		expectGroups(s, 6, 12)
		s.storeOut = false
		s.run(10*time.Second, steady(1), steady(1))
		expectGroups(s, 5, 14)
	})

	It("waits while a group of the domain is repaired, and changes another domain meanwhile", func() {
		s := buildFarm()
		s.planners = nil
		s.addPlanner(func(domain string) bool { return domain == "d0" })
		s.run(10*time.Second, steady(1), steady(1))
		// A member that cannot join keeps a group of d0 from being complete.
		record := s.recordsIn("d0", "small")[0]
		delete(s.endpoints, record.Members[1].ID)
		stuck := func() {
			for id, e := range s.endpoints {
				if strings.HasPrefix(id, "d0") && e.Group.In(record.Group, s.in.Groups.Groups[record.Group].Epoch) && e.Group.Rank == 0 {
					e.Group.State = "joining"
				}
			}
		}
		for range 2 * 30 {
			s.run(siteStep, steady(1), steady(1))
			stuck()
		}
		Expect(s.shifts).To(BeEmpty())
		s.addPlanner(func(domain string) bool { return domain == "d1" })
		for range 2 * 30 {
			s.run(siteStep, steady(1), steady(1))
			stuck()
		}
		Expect(s.shifts).To(HaveLen(1))
		Expect(s.shifts[0].Domain).To(Equal("d1"))
	})

	It("never closes the last group of a model, however small its demand", func() {
		s := buildFarm()
		s.run(5*time.Minute, steady(0), steady(2.2))
		large, _ := s.groups()
		Expect(large).To(Equal(1))
	})

	It("closes the group with the fewest requests in progress", func() {
		s := buildFarm()
		var busy []string
		s.in.InProgress = func(group string, _ uint64) int {
			if strings.HasPrefix(group, "d4") {
				return 3
			}
			busy = append(busy, group)
			return 20
		}
		s.run(30*time.Second, steady(1), steady(1))
		Expect(busy).NotTo(BeEmpty())
		Expect(s.shifts).To(HaveLen(1))
		Expect(s.shifts[0].Domain).To(Equal("d4"))
		Expect(s.shifts[0].InProgress).To(Equal(3))
	})

	It("gives returning endpoints to the model with the higher utilisation", func() {
		s := bookSellers()
		s.run(5*time.Second, steady(0.2), steady(1.5))
		record := s.recordsIn("d2", "large")[0]
		for _, member := range record.Members {
			delete(s.endpoints, member.ID)
		}
		s.in.Groups = withoutRecord(s.in.Groups, record.Group)
		s.run(2*time.Second, steady(0.2), steady(1.5))
		for _, member := range record.Members {
			e := s.add(member.ID)
			e.Domain, e.Slots, e.Staged = "d2", 30, []string{"large", "small"}
		}
		s.run(5*time.Second, steady(0.2), steady(1.5))
		large, small := s.groups()
		Expect(large).To(Equal(5))
		Expect(small).To(BeNumerically(">", 24))
	})

	It("completes a change although a member is lost in its midst", func() {
		s := buildFarm()
		for len(s.shifts) == 0 {
			s.run(siteStep, steady(1), steady(1))
			Expect(s.in.Now.Sub(s.start)).To(BeNumerically("<", time.Minute))
		}
		record := s.in.Groups.Groups[s.shifts[0].Close[0]]
		Expect(record.Model).To(Equal("small"))
		delete(s.endpoints, record.Members[3].ID)
		s.run(8*time.Second, steady(1), steady(1))
		expectGroups(s, 5, 14)
	})

	It("keeps members that no new group takes from other groups until the head has released them", func() {
		s := newDemandSite(13, 7, 4, buildFarm().perf, requests(20, 1667, 102), requests(315, 714, 150))
		s.run(14*time.Second, steady(1), steady(1))
		Expect(s.shifts).To(HaveLen(1))
		closed := s.shifts[0].Close
		Expect(closed).To(HaveLen(1))
		Expect(s.in.Groups.Groups[closed[0]]).To(And(HaveField("Dissolving", true), HaveField("Members", HaveLen(3))))
		large, small := s.groups()
		s.run(5*time.Second, steady(1), steady(1))
		Expect(s.shifts).To(HaveLen(1), "the new group has a name of its own, and is a change all the same")
		for _, record := range s.in.Groups.Groups {
			Expect(record.Dissolving).To(BeFalse())
		}
		gotLarge, gotSmall := s.groups()
		Expect(gotLarge).To(Equal(large))
		Expect(gotSmall).To(BeNumerically(">=", small+s.shifts[0].Form))
	})

	It("uses reserved spares for the busier model only when that is short of capacity", func() {
		s := bookSellers()
		s.run(10*time.Second, steady(0.3), steady(0.8)) // shorter than until the first change
		expectGroups(s, 6, 24)
		s = bookSellers()
		s.run(time.Minute, steady(1.1), steady(1.1))
		expectGroups(s, 6, 24)
		s.run(time.Minute, steady(1.1), steady(1.6))
		Expect(s.shifts).To(BeEmpty(), "the larger model has no group to spare")
		large, small := s.groups()
		Expect(large).To(Equal(6))
		Expect(small).To(BeNumerically(">=", 28), "until its utilisation is within a fifth of the other's")
	})

	It("plans as configured before traffic and while demand is too small to tell", func() {
		s := buildFarm()
		s.run(time.Minute, steady(0.001), steady(0.05))
		Expect(s.shifts).To(BeEmpty())
		s = buildFarm()
		s.in.BeforeTraffic = true
		s.run(time.Minute, steady(1), steady(1))
		Expect(s.shifts).To(BeEmpty())
	})
})

func withoutRecord(state *ledger.State, name string) *ledger.State {
	next := *state
	next.Groups = map[string]*ledger.Record{}
	for other, record := range state.Groups {
		if other != name {
			next.Groups[other] = record
		}
	}
	next.End++
	return &next
}
