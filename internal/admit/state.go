package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/view"
)

// rotationPeriod is how long one daemon keeps the advantage of a rounding.
const rotationPeriod = time.Second

// state is the admission of one daemon: its pools and what it knows of the
// others. It is not safe for concurrent use.
type state struct {
	views  *view.Store
	bounds Bounds
	pools  map[fleet.ModelName]*Pool
	peers  *peers
}

func newState(views *view.Store, bounds Bounds, peers *peers) *state {
	return &state{views: views, bounds: bounds, pools: map[fleet.ModelName]*Pool{}, peers: peers}
}

func (s *state) pool(model fleet.ModelName) *Pool {
	pool, ok := s.pools[model]
	if !ok {
		pool = NewPool(s.bounds)
		s.pools[model] = pool
	}
	return pool
}

// arrive decides on a request after it has divided the capacity with the
// request's own demand.
func (s *state) arrive(model fleet.ModelName, ticket *Ticket, now time.Time) (bool, *refusal.Refusal) {
	s.allot(model, ticket.Team, now)
	return s.pool(model).Arrive(ticket, now)
}

// round divides the capacity of each model anew and returns the own usage.
func (s *state) round(now time.Time) Usage {
	var usage Usage
	for model, pool := range s.pools {
		s.allot(model, "", now)
		usage.Models = append(usage.Models, ModelUsage{Model: model, Teams: usageOf(pool)})
	}
	slices.SortFunc(usage.Models, func(a, b ModelUsage) int { return cmp.Compare(a.Model, b.Model) })
	return usage
}

func usageOf(pool *Pool) []TeamUsage {
	var teams []TeamUsage
	for name := range pool.teams {
		running, waiting := pool.Demand(name)
		if running+waiting > 0 {
			teams = append(teams, TeamUsage{Team: name, Running: running, Waiting: waiting})
		}
	}
	slices.SortFunc(teams, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return teams
}

// capacity returns the requests that the complete groups of a model run at
// once.
func (s *state) capacity(model fleet.ModelName, now time.Time) int {
	total := 0
	for _, serving := range s.views.Load().Groups {
		if serving.Model == model && serving.Proven(now) {
			total += serving.Capacity
		}
	}
	return total
}

// allot divides the capacity of a model between the daemons that are heard. A
// request that is just arriving counts for its team.
func (s *state) allot(model fleet.ModelName, arriving fleet.TeamName, now time.Time) {
	pool := s.pool(model)
	daemons := s.peers.live(now)
	capacity := s.capacity(model, now)
	demands := s.demands(model, pool, daemons, arriving)
	shares := 0.0
	for _, demand := range demands {
		shares += demand.Share
	}
	for i, demand := range demands {
		part := demand.Share / max(shares, 1)
		pool.SetPart(demand.Team, part)
		credit := &pool.team(demand.Team).credit
		credit.saw(use(s.running(daemons, demandKey{model, demand.Team}, pool), part*float64(capacity)), now)
		demands[i].Share *= credit.factor()
	}
	rotation := int(now.UnixNano() / int64(rotationPeriod))
	self := slices.Index(daemons, s.peers.self)
	pool.SetAllotment(Allot(s.peers.within(capacity, now), len(daemons), self, demands, rotation))
}

// use is the requests that run as a part of those that the share allows.
func use(running int, allowed float64) float64 {
	if allowed == 0 {
		return float64(running)
	}
	return float64(running) / allowed
}

// running returns the requests of a team that run on all daemons.
func (s *state) running(daemons []fleet.DaemonID, key demandKey, pool *Pool) int {
	total := 0
	for _, daemon := range daemons {
		total += s.usageOn(daemon, key, pool).Running
	}
	return total
}

func (s *state) demands(model fleet.ModelName, pool *Pool, daemons []fleet.DaemonID, arriving fleet.TeamName) []Demand {
	teams := s.views.Load().Config.Teams
	demands := make([]Demand, 0, len(teams))
	for _, team := range teams {
		demand := Demand{Team: team.Name, Share: float64(team.Share), ByDaemon: make([]int, len(daemons))}
		for i, daemon := range daemons {
			usage := s.usageOn(daemon, demandKey{model, team.Name}, pool)
			demand.ByDaemon[i] = usage.Running + usage.Waiting
			if team.Name == arriving && daemon == s.peers.self {
				demand.ByDaemon[i]++
			}
		}
		demands = append(demands, demand)
	}
	return demands
}

func (s *state) usageOn(daemon fleet.DaemonID, key demandKey, pool *Pool) TeamUsage {
	if daemon != s.peers.self {
		return s.peers.usage(daemon, key)
	}
	running, waiting := pool.Demand(key.team)
	return TeamUsage{Team: key.team, Running: running, Waiting: waiting}
}
