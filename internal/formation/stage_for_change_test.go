package formation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/registry"
)

// shortSite is the build farm after losses: four of six groups of the larger model have made way for
// groups of the smaller one, and each host keeps one staged model, the one that its endpoint serves.
type shortSite struct {
	*demandSite
	staged map[string]string    // model, by ID of the endpoint
	until  map[string]time.Time // when the model that an endpoint was ordered to stage is there
}

// stagingTime is how long a host takes to load the larger model from the weight store.
const stagingTime = 16 * time.Second

func newShortSite() *shortSite {
	s := &shortSite{demandSite: buildFarm(), staged: map[string]string{}, until: map[string]time.Time{}}
	for _, domain := range []string{"d0", "d1", "d2", "d3"} {
		for _, record := range s.recordsIn(domain, "large") {
			for _, member := range record.Members {
				e := s.endpoints[member.ID]
				e.Group, e.Model = registry.Membership{}, "small"
			}
			s.in.Groups = withoutRecord(s.in.Groups, record.Group)
		}
	}
	for id, e := range s.endpoints {
		s.staged[id] = e.Model
		e.Staged = []string{e.Model}
	}
	return s
}

// run simulates some time in which each order to stage takes stagingTime, and returns the number of
// endpoints that were ordered to.
func (s *shortSite) run(duration time.Duration, large, small float64) (ordered int) {
	for end := s.in.Now.Add(duration); s.in.Now.Before(end); {
		s.demandSite.run(siteStep, steady(large), steady(small))
		for id, e := range s.endpoints {
			wanted := e.Staged[0]
			if wanted == s.staged[id] {
				continue
			}
			until, loading := s.until[id]
			switch {
			case !loading:
				ordered++
				s.until[id] = s.in.Now.Add(stagingTime)
			case !s.in.Now.Before(until):
				s.staged[id] = wanted
				delete(s.until, id)
			}
			e.Staged = []string{s.staged[id]}
		}
	}
	return ordered
}

var _ = Describe("Groups whose hosts keep one staged model", func() {
	// On trouble-2 one or two groups of the larger model served for 40 s at twice their capacity, beside
	// groups of the smaller model at half of theirs, as no member had the larger model staged any more.
	It("change back to the larger model when the demand calls for it", func() {
		s := newShortSite()
		s.run(5*time.Second, 1, 1)
		large, small := s.groups()
		Expect(large).To(Equal(2))
		Expect(small).To(BeNumerically(">=", 18))
		s.run(40*time.Second, 1, 1)
		large, _ = s.groups()
		Expect(float64(large)*16.7).To(BeNumerically(">", 47.7), "the larger model has capacity")
	})

	It("load no more than one domain's change needs at a time, and nothing when no change pays off", func() {
		s := newShortSite()
		Expect(s.run(15*time.Second, 1, 1)).To(BeNumerically("<=", 12+5*6), "one group, and the spares of six domains")
		Expect(s.run(5*time.Minute, 1, 1)).To(BeNumerically("<=", 12*4+5*6))
		Expect(s.run(2*time.Minute, 1, 1)).To(BeZero())
	})

	It("are staged by the next planner when one is lost while they load", func() {
		s := newShortSite()
		s.run(15*time.Second, 1, 1)
		s.planners = nil
		s.addPlanner(func(string) bool { return true })
		s.run(45*time.Second, 1, 1)
		large, _ := s.groups()
		Expect(large).To(BeNumerically(">", 2))
	})
})
