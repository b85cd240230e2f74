package formation_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// siteStep is the time between two planning rounds of a demandSite.
const siteStep = 500 * time.Millisecond

// demandSite simulates a deployment whose planners follow demand, in virtual time.
type demandSite struct {
	*deployment
	perf     catalog.PerformanceModel
	large    demand.Total // at a factor of 1
	small    demand.Total
	planners []*sitePlanner
	start    time.Time
	shifts   []formation.Shift // carried out
	shiftsAt []time.Time       // when they were
	storeOut bool              // appends fail
}

// sitePlanner is the state of one planner. Each has its own observations of the same endpoints.
type sitePlanner struct {
	owns    func(domain string) bool
	tracker *demand.Tracker
	history formation.ShiftTracker
	health  formation.Health
	seen    float64 // factor on the demand that this planner sees
}

func requests(perS, prompt, output float64) demand.Total {
	return demand.Total{RequestsPerS: perS, PromptTokensPerS: perS * prompt, OutputTokensPerS: perS * output}
}

// buildFarm returns the build farm of docs/design/hard-load.md: six domains of 27 endpoints.
func buildFarm() *demandSite {
	return newDemandSite(27, 12, 6, catalog.PerformanceModel{
		Slots: 48, StepsPerPass: 5, PrefillChunkTokens: 2048, StepDuration: 6450 * time.Microsecond, PerRequest: 96700 * time.Nanosecond, PrefillTokensPerSecond: 56_100,
	}, requests(47.7, 1667, 102), requests(315, 714, 150))
}

// bookSellers returns the other deployment of that page: six domains of 37 endpoints.
func bookSellers() *demandSite {
	return newDemandSite(37, 16, 4, catalog.PerformanceModel{
		Slots: 30, StepsPerPass: 7, PrefillChunkTokens: 2048, StepDuration: 5950 * time.Microsecond, PerRequest: 44500 * time.Nanosecond, PrefillTokensPerSecond: 50_700,
	}, requests(62.8, 1677, 113), requests(381, 714, 217))
}

// newDemandSite returns a site of six domains in three data centres whose groups were formed before traffic, by equal
// shares.
func newDemandSite(perDomain, largeSize, smallSize int, perf catalog.PerformanceModel, large, small demand.Total) *demandSite {
	s := &demandSite{deployment: newDeployment(0), perf: perf, large: large, small: small}
	service := catalog.Service{Name: "s", Performance: &s.perf, Models: []catalog.Model{
		{Name: "large", GroupSize: largeSize, Share: 0.5, StepTimeFactor: 1}, {Name: "small", GroupSize: smallSize, Share: 0.5, StepTimeFactor: 0.6},
	}}
	s.in.Catalog = catalog.New(1, nil, []catalog.Service{service}, nil, catalog.Limits{})
	for domain := range 6 {
		for i := range perDomain {
			id := fmt.Sprintf("d%d-%02d", domain, i)
			s.endpoints[id] = &registry.Endpoint{
				ID: id, Service: "s", DataCentre: fmt.Sprint("z", domain/2), Domain: fmt.Sprint("d", domain), Address: id, Slots: perf.Slots, Incarnation: 1, Staged: []string{"large", "small"}, FirstSeen: time.Unix(0, 0),
			}
		}
	}
	s.in.BeforeTraffic = true
	s.converge()
	s.in.BeforeTraffic = false
	s.start = s.in.Now
	s.addPlanner(func(string) bool { return true })
	return s
}

func (s *demandSite) addPlanner(owns func(domain string) bool) *sitePlanner {
	added := &sitePlanner{owns: owns, tracker: demand.NewTracker(), seen: 1, health: formation.Health{
		Dead: map[string]int64{}, Slow: map[string]float64{}, Preloads: map[string]formation.Preload{}, Released: map[string]bool{}, Doubtful: map[string]bool{}, Ended: map[string]bool{}, Vacated: map[string]bool{}, DrainingSince: map[string]int64{},
	}}
	s.planners = append(s.planners, added)
	return added
}

// run simulates some time at demand that varies by a factor for each model.
func (s *demandSite) run(duration time.Duration, largeFactor, smallFactor func(at time.Duration) float64) {
	for end := s.in.Now.Add(duration); s.in.Now.Before(end); s.in.Now = s.in.Now.Add(siteStep) {
		at := s.in.Now.Sub(s.start)
		s.round(largeFactor(at), smallFactor(at))
	}
}

// round lets all planners plan on the same ledger. As with the store, only the first of them whose
// plan changes the ledger succeeds.
func (s *demandSite) round(largeFactor, smallFactor float64) {
	read := s.in.Groups
	var orders []plannedOrder
	for _, planner := range s.planners {
		planner.history.Observe(read, s.in.Now)
		planner.history.ObserveEvacuated(slices.Sorted(maps.Keys(s.in.Evacuated)))
		present := map[string]demand.Total{"large": scaled(s.large, largeFactor*planner.seen), "small": scaled(s.small, smallFactor*planner.seen)}
		planner.tracker.Observe("s", present, s.in.Now)
		s.in.PresentDemand = func(_, model string) demand.Total { return present[model] }
		written := s.in.Groups
		s.in.Groups, s.in.Owns, s.in.Health, s.in.Shifts = read, planner.owns, planner.health, planner.history.Load()
		s.in.Demand = nil
		if smoothed := planner.tracker.Smoothed("s"); smoothed != nil {
			s.in.Demand = map[string]map[string]demand.Total{"s": smoothed}
		}
		plan := s.plan()
		planner.history.Review(plan.Paying, s.in.Now)
		for _, order := range plan.Orders {
			orders = append(orders, plannedOrder{planner, order})
		}
		s.in.Groups = written
		if len(plan.Grants)+len(plan.Drops) > 0 && written == read && !s.storeOut {
			s.applyToLedger(plan)
			s.shifts = append(s.shifts, plan.Shifts...)
			for range plan.Shifts {
				s.shiftsAt = append(s.shiftsAt, s.in.Now)
			}
		}
	}
	for _, planned := range orders {
		s.in.Health = planned.by.health
		s.execute(planned.order)
	}
	s.expectNoEndpointGrantedTwice()
}

type plannedOrder struct {
	by    *sitePlanner
	order formation.Order
}

func (s *demandSite) expectNoEndpointGrantedTwice() {
	holder := map[string]string{}
	for name, record := range s.in.Groups.Groups {
		for _, member := range record.Members {
			if other, granted := holder[member.ID]; granted {
				Fail(member.ID + " is granted to " + other + " and " + name)
			}
			holder[member.ID] = name
		}
	}
}

func scaled(total demand.Total, factor float64) demand.Total {
	return demand.Total{RequestsPerS: factor * total.RequestsPerS, PromptTokensPerS: factor * total.PromptTokensPerS, OutputTokensPerS: factor * total.OutputTokensPerS}
}

func steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// groups returns the number of serving groups of each model.
func (s *demandSite) groups() (large, small int) {
	for _, model := range s.serving() {
		if model == "large" {
			large++
		} else {
			small++
		}
	}
	return large, small
}

// recordsIn returns the records of the groups of a model in a domain.
func (s *demandSite) recordsIn(domain, model string) []*ledger.Record {
	var records []*ledger.Record
	for _, record := range s.in.Groups.Groups {
		if record.Domain == domain && record.Model == model {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *ledger.Record) int { return cmp.Compare(a.Group, b.Group) })
	return records
}
