package admit

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/view"
)

// rotationPeriod is how long one daemon keeps the advantage of a rounding.
const rotationPeriod = time.Second

// minDivideGap bounds the work of dividing a capacity under a flood of requests.
const minDivideGap = 2 * time.Millisecond

// scarceUse is the used part of a capacity from which its division matters.
const scarceUse = 0.7

// state is the admission of one daemon: its pools and what it knows of the
// others. It is not safe for concurrent use.
type state struct {
	views  *view.Store
	bounds Bounds
	pools  map[fleet.ModelName]*Pool
	lones  map[fleet.ModelName]*lone
	peers  *peers
	sent   *toldUsage
	// The own usage that the others know by now, and the one told last.
	settled, told map[demandKey]int
	numbers       *usageNumbers
}

func newState(views *view.Store, bounds Bounds, peers *peers) *state {
	return &state{
		views:  views,
		bounds: bounds,
		pools:  map[fleet.ModelName]*Pool{},
		lones:  map[fleet.ModelName]*lone{},
		peers:  peers,
		sent:   newToldUsage(),
	}
}

func (s *state) pool(model fleet.ModelName) *Pool {
	pool, ok := s.pools[model]
	if !ok {
		pool = NewPool(s.bounds)
		s.pools[model] = pool
	}
	return pool
}

// arrive decides on a request. A request that the present division does not let
// run has the capacity divided anew with its own demand.
func (s *state) arrive(model fleet.ModelName, ticket *Ticket, now time.Time) (bool, *refusal.Refusal) {
	pool := s.pool(model)
	if !pool.hasRoom(ticket.Team) && now.Sub(pool.allotted) >= minDivideGap {
		s.allot(model, ticket.Team, now)
	}
	return pool.Arrive(ticket, now)
}

// round divides the capacity of each model anew and returns what to tell the
// others, with room in bytes for changes, and whether it has any.
func (s *state) round(now time.Time, room int) (usageUpdate, bool) {
	scarce := map[fleet.ModelName]bool{}
	for model, pool := range s.pools {
		s.allot(model, "", now)
		used, _ := s.inUse(model)
		scarce[model] = pool.waiting > 0 || float64(used) >= scarceUse*float64(s.capacity(model, now))
	}
	update, changed := s.sent.next(s.usage(), scarce, s.currentNumbers(), room)
	s.settled, s.told = s.told, totals(s.sent.usage)
	return update, changed
}

// learn takes in an update of another daemon and reports whether its whole usage
// has to be asked for.
func (s *state) learn(from fleet.DaemonID, update usageUpdate, now time.Time) (ask bool) {
	return s.peers.of(from).apply(update, s.currentNumbers(), now)
}

// currentNumbers returns the numbers of the configuration in force.
func (s *state) currentNumbers() *usageNumbers {
	current := s.views.Load().Config
	if s.numbers == nil || s.numbers.version != current.Version {
		s.numbers = newUsageNumbers(current)
	}
	return s.numbers
}

func totals(usage map[demandKey]TeamUsage) map[demandKey]int {
	all := make(map[demandKey]int, len(usage))
	for key, t := range usage {
		all[key] = t.Running + t.Waiting
	}
	return all
}

// usage returns the own usage.
func (s *state) usage() map[demandKey]TeamUsage {
	usage := map[demandKey]TeamUsage{}
	for model, pool := range s.pools {
		for name := range pool.teams {
			running, waiting := pool.Demand(name)
			if running+waiting > 0 {
				usage[demandKey{model, name}] = TeamUsage{Team: name, Running: running, Waiting: waiting}
			}
		}
	}
	return usage
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
	pool.allotted = now
	pool.SetAllotment(s.divide(model, s.within(model, capacity, now), daemons, demands, now))
}

// divide returns the own part of a capacity. Beyond its even part a daemon takes
// only what follows from a demand that the others know by now, so that daemons
// whose demand rises together do not take the same slots.
func (s *state) divide(model fleet.ModelName, capacity int, daemons []fleet.DaemonID, demands []Demand, now time.Time) Allotment {
	rotation := int(now.UnixNano() / int64(rotationPeriod))
	self := slices.Index(daemons, s.peers.self)
	allotment := Allot(capacity, len(daemons), self, demands, rotation)
	even := (capacity + len(daemons) - 1) / len(daemons)
	if allotment.Slots <= even {
		return allotment
	}
	for i := range demands {
		demands[i].ByDaemon[self] = s.settled[demandKey{model, demands[i].Team}]
	}
	known := Allot(capacity, len(daemons), self, demands, rotation)
	allotment.Slots = min(allotment.Slots, max(even, known.Slots))
	return allotment
}

// within returns the part of a capacity that the heard daemons divide.
func (s *state) within(model fleet.ModelName, capacity int, now time.Time) int {
	floor := s.peers.within(capacity, now)
	l, ok := s.lones[model]
	if !ok {
		l = &lone{}
		s.lones[model] = l
	}
	if !s.peers.isLone(now) {
		l.reset()
		return floor
	}
	used, own := s.inUse(model)
	return min(capacity, floor+int(l.grow(capacity, used, own, now)*float64(capacity)))
}

// inUse returns the requests that run and wait by the engines' late reports,
// and those of this daemon.
func (s *state) inUse(model fleet.ModelName) (used, own int) {
	for _, serving := range s.views.Load().Groups {
		if serving.Model == model {
			used += serving.Running + serving.Waiting
			own += serving.Load.InFlight()
		}
	}
	return used, own
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
