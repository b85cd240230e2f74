package formation_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/registry"
)

var _ = Describe("Groups while data centres are evacuated", func() {
	const second = time.Second
	var s *demandSite
	evacuate := func(names ...string) {
		s.in.Evacuated = map[string]time.Time{}
		for _, name := range names {
			s.in.Evacuated[name] = s.in.Now
		}
	}
	evacuated := func(domain string) bool {
		_, found := s.in.Evacuated[fmt.Sprint("z", (domain[1]-'0')/2)]
		return found
	}
	// outside returns the serving groups of each model outside evacuated data centres, and whether any
	// group there does not serve.
	outside := func() (large, small int, incomplete bool) {
		for _, record := range s.in.Groups.Groups {
			head := s.endpoints[record.Head().ID]
			switch {
			case evacuated(record.Domain):
			case head == nil || head.Group.State != registry.Open || !head.Group.In(record.Group, record.Epoch):
				incomplete = true
			case record.Model == "large":
				large++
			default:
				small++
			}
		}
		return large, small, incomplete
	}
	expectOutside := func(large, small int) {
		GinkgoHelper()
		gotLarge, gotSmall, incomplete := outside()
		Expect([]int{gotLarge, gotSmall}).To(Equal([]int{large, small}))
		Expect(incomplete).To(BeFalse())
	}
	// run runs the site and fails on a change in an evacuated data centre, and on one beside another.
	run := func(duration time.Duration, large, small float64) {
		GinkgoHelper()
		for range duration / siteStep {
			_, _, incomplete := outside()
			made := len(s.shifts)
			s.run(siteStep, steady(large), steady(small))
			for _, shift := range s.shifts[made:] {
				Expect(incomplete).To(BeFalse(), "two changes at a time")
				Expect(evacuated(shift.Domain)).To(BeFalse())
			}
		}
	}
	BeforeEach(func() {
		s = buildFarm()
		run(5*second, 1, 1) // shorter than until the first change by the demand
		Expect(s.shifts).To(BeEmpty())
	})

	It("take over the demand of the smaller model at once, and not at the cost of the larger one", func() {
		evacuate("z0")
		run(second, 1, 1)
		Expect(s.shifts).To(HaveLen(1), "the evacuation is over before an ordinary change")
		Expect(s.shifts[0].ToBefore).To(BeNumerically("~", 1.125, 0.01), "groups of the evacuated data centre count as capacity")
		Expect(s.shifts[0].FromAfter).To(BeNumerically("<", 1))
		run(5*second, 1, 1)
		expectOutside(3, 10)
		kept := s.recordsIn("d0", "large")[0]
		delete(s.endpoints, kept.Members[3].ID)
		run(40*second, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
		Expect(s.serving()).To(HaveLen(19), "groups of the evacuated data centre stay formed and are repaired")
		evacuate()
		run(2*60*second, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
	})

	It("go by the present demand, as the smoothed one lags behind a rise by 8 s", func() {
		run(3*second, 0.3, 0.3)
		evacuate("z0")
		run(second, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
		Expect(s.shifts[0].ToDemand).To(Equal(315.0))
	})

	It("are not planned by the configured shares in a pause of the demand, which would dissolve groups", func() {
		s = newDemandSite(14, 7, 4, buildFarm().perf, requests(10, 1667, 102), requests(280, 714, 150))
		run(5*second, 1, 1)
		evacuate("z0")
		run(12*second, 1, 1)
		Expect(len(s.shifts)).To(BeNumerically(">=", 2))
		kept := s.in.Groups
		run(2*second, 0, 0)
		Expect(s.in.Groups.Groups).To(Equal(kept.Groups))
	})

	It("complete a change whose planner is lost after its append, and make no second one", func() {
		evacuate("z0")
		run(siteStep, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
		s.planners = nil
		s.addPlanner(func(string) bool { return true })
		run(6*second, 1, 1)
		expectOutside(3, 10)
		run(30*second, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
	})

	It("change one after the other when two data centres are evacuated in turn, by planners that each own some domains", func() {
		s.planners = nil
		for _, owned := range []string{"d0d3", "d1d2", "d4d5"} {
			s.addPlanner(func(domain string) bool { return strings.Contains(owned, domain) }).seen = 1 + 0.01*float64(owned[1]-'0')
		}
		run(5*second, 0.3, 0.8)
		evacuate("z2")
		run(second, 0.3, 0.8)
		Expect(s.shifts).To(HaveLen(1))
		Expect(s.shifts[0].Domain).To(Equal("d0"))
		s.in.Evacuated["z0"] = s.in.Now
		run(30*second, 0.3, 0.8)
		Expect(s.shifts).To(HaveLen(2))
		expectOutside(1, 6) // 7 groups are needed, but one group of the larger model must stay
		Expect(s.serving()).To(HaveLen(20), "the change is finished although its data centre was evacuated meanwhile")
		for i, at := range s.shiftsAt[1:] {
			Expect(at.Sub(s.shiftsAt[i])).To(BeNumerically(">=", 2*second))
		}
	})

	It("change again only when the groups of the previous change serve, so that never more than one is out of service", func() {
		evacuate("z0")
		run(10*second, 0.3, 0.8)
		Expect(len(s.shifts)).To(BeNumerically(">=", 2))
	})

	It("are not held up by a group of the evacuated data centre whose head cannot be released", func() {
		record := s.recordsIn("d0", "large")[0]
		for _, member := range record.Members[:4] {
			delete(s.endpoints, member.ID)
		}
		run(second, 1, 1)
		Expect(s.in.Groups.Groups[record.Group].Dissolving).To(BeTrue())
		evacuate("z0")
		run(siteStep, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
	})

	DescribeTable("are not changed to and fro by an evacuation that is withdrawn at once", func(settled, duration time.Duration, changes int) {
		s = buildFarm()
		run(settled, 1, 1)
		evacuate("z1")
		run(duration, 1, 1)
		Expect(s.shifts).To(HaveLen(changes))
		evacuate()
		run(6*second, 1, 1)
		Expect(s.shifts).To(HaveLen(changes))
		_, _, incomplete := outside()
		Expect(incomplete).To(BeFalse(), "the change is finished")
		run(2*60*second, 1, 1)
		Expect(s.shifts).To(HaveLen(1), "the one that the demand calls for without an evacuation too")
	},
		Entry("before a change is made, as demand is not known yet", second, 2*second, 0),
		Entry("after a change is made", 5*second, siteStep, 1),
		Entry("while the change is being made", 5*second, 2*second, 1),
	)

	It("are changed after the withdrawal only by what has paid off for 8 s since", func() {
		s.storeOut = true
		evacuate("z0")
		run(20*second, 1, 1)
		evacuate()
		s.storeOut = false
		run(8*second, 1, 1)
		Expect(s.shifts).To(BeEmpty(), "the change paid off with the groups that were left")
		run(2*second, 1, 1)
		Expect(s.shifts).To(HaveLen(1))
	})

	It("stay as they are while all data centres are evacuated", func() {
		evacuate("z0", "z1", "z2")
		kept := s.in.Groups
		run(60*second, 1, 2)
		Expect(s.in.Groups.Groups).To(Equal(kept.Groups))
	})
})
