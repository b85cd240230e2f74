package admit

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/view"
)

// rotationPeriod is the time after which rounding advantages rotate to the next daemon and
// team.
const rotationPeriod = time.Second

// minDivideInterval limits how often a capacity is divided because of arriving requests, so
// that a flood of requests does not cause excessive work.
const minDivideInterval = 2 * time.Millisecond

// scarceUtilisation is the utilisation from which on a model's capacity counts as scarce.
const scarceUtilisation = 0.7

// state holds the admission state of one daemon: its pools and the usage of the others. It
// is not safe for concurrent use.
type state struct {
	views          *view.Store
	bounds         Bounds
	pools          map[fleet.ModelName]*Pool
	isolationRamps map[fleet.ModelName]*isolationRamp
	peers          *peers
	published      *publishedUsage
	// knownToPeers is the usage in the update before the last one, which the other daemons
	// have received by now. lastPublished is the usage in the last update.
	knownToPeers, lastPublished map[demandKey]int
	numbers                     *usageNumbers
}

func newState(views *view.Store, bounds Bounds, peers *peers) *state {
	return &state{
		views:          views,
		bounds:         bounds,
		pools:          map[fleet.ModelName]*Pool{},
		isolationRamps: map[fleet.ModelName]*isolationRamp{},
		peers:          peers,
		published:      newPublishedUsage(),
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

// arrive decides on a request. If the current allotment does not let it run, the capacity
// is divided again with the request included in the demand.
func (s *state) arrive(model fleet.ModelName, ticket *Ticket, now time.Time) (bool, *refusal.Refusal) {
	pool := s.pool(model)
	if !pool.hasRoom(ticket.Team) && now.Sub(pool.allottedAt) >= minDivideInterval {
		s.allot(model, ticket.Team, now)
	}
	return pool.Arrive(ticket, now)
}

// rebalance divides the capacity of each model and returns the update to publish, with up
// to room bytes of changes, and whether it has any.
func (s *state) rebalance(now time.Time, room int) (usageUpdate, bool) {
	scarce := map[fleet.ModelName]bool{}
	for model, pool := range s.pools {
		s.allot(model, "", now)
		used, _ := s.inUse(model)
		scarce[model] = pool.waiting > 0 || float64(used) >= scarceUtilisation*float64(s.capacity(model, now))
	}
	update, changed := s.published.nextUpdate(s.usage(), scarce, s.currentNumbers(), room)
	s.knownToPeers, s.lastPublished = s.lastPublished, totals(s.published.usage)
	return update, changed
}

// applyUpdate applies an update of another daemon and reports whether a snapshot has to be
// fetched.
func (s *state) applyUpdate(from fleet.DaemonID, update usageUpdate, now time.Time) (fetch bool) {
	return s.peers.usageOf(from).apply(update, s.currentNumbers(), now)
}

// currentNumbers returns the numbers for the configuration in force.
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

// usage returns the usage of this daemon.
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

// capacity returns the number of requests that the complete groups of a model can run at
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

// allot divides the capacity of a model between the live daemons. A request that is just
// arriving is counted in the demand of its team.
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
		pool.SetQueueShare(demand.Team, part)
		credit := &pool.team(demand.Team).credit
		credit.observe(utilisation(s.running(daemons, demandKey{model, demand.Team}, pool), part*float64(capacity)), now)
		demands[i].Share *= credit.factor()
	}
	pool.allottedAt = now
	pool.SetAllotment(s.divide(model, s.usableCapacity(model, capacity, now), daemons, demands, now))
}

// divide returns this daemon's part of a capacity. Slots beyond the even part must also
// follow from the demand that the other daemons already know, so that daemons whose
// demand rises at the same time do not claim the same slots.
func (s *state) divide(model fleet.ModelName, capacity int, daemons []fleet.DaemonID, demands []Demand, now time.Time) Allotment {
	rotation := int(now.UnixNano() / int64(rotationPeriod))
	self := slices.Index(daemons, s.peers.self)
	allotment := Allot(capacity, len(daemons), self, demands, rotation)
	evenPart := (capacity + len(daemons) - 1) / len(daemons)
	if allotment.Slots <= evenPart {
		return allotment
	}
	for i := range demands {
		demands[i].ByDaemon[self] = s.knownToPeers[demandKey{model, demands[i].Team}]
	}
	known := Allot(capacity, len(daemons), self, demands, rotation)
	allotment.Slots = min(allotment.Slots, max(evenPart, known.Slots))
	return allotment
}

// usableCapacity returns the part of a capacity that the live daemons may divide between
// them, including the growth of an isolated daemon.
func (s *state) usableCapacity(model fleet.ModelName, capacity int, now time.Time) int {
	floor := s.peers.usableCapacity(capacity, now)
	ramp, ok := s.isolationRamps[model]
	if !ok {
		ramp = &isolationRamp{}
		s.isolationRamps[model] = ramp
	}
	if !s.peers.isIsolated(now) {
		ramp.reset()
		return floor
	}
	used, own := s.inUse(model)
	return min(capacity, floor+int(ramp.grow(capacity, used, own, now)*float64(capacity)))
}

// inUse returns the running and waiting requests in the engines' reports, which are
// delayed, and the requests in progress through this daemon.
func (s *state) inUse(model fleet.ModelName) (used, own int) {
	for _, serving := range s.views.Load().Groups {
		if serving.Model == model {
			used += serving.Running + serving.Waiting
			own += serving.Load.InFlight()
		}
	}
	return used, own
}

// utilisation returns the running requests as a fraction of those that the share allows.
func utilisation(running int, allowed float64) float64 {
	if allowed == 0 {
		return float64(running)
	}
	return float64(running) / allowed
}

// running returns the number of running requests of a team on all daemons.
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
