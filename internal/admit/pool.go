package admit

import (
	"container/heap"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	minComeBack = time.Second
	// minTeamQueue is the least number of requests of a team that may wait.
	minTeamQueue = 4
)

// Pool admits the requests for one model on one daemon. It is not safe for
// concurrent use.
type Pool struct {
	bounds  Bounds
	teams   map[fleet.TeamName]*team
	allowed Allotment
	running int
	waiting int
	pace    pace

	allotted time.Time // when the capacity was divided last
}

// NewPool returns a pool that admits nothing until it has an allotment.
func NewPool(bounds Bounds) *Pool {
	return &Pool{bounds: bounds, teams: map[fleet.TeamName]*team{}}
}

// SetAllotment replaces the daemon's part of the capacity.
func (p *Pool) SetAllotment(a Allotment) { p.allowed = a }

// SetPart sets the part of the queue that a team may fill, between 0 and 1.
func (p *Pool) SetPart(name fleet.TeamName, part float64) {
	p.team(name).queueLength = max(int(part*float64(p.bounds.QueueLength)), minTeamQueue)
}

// Demand returns the requests of a team that run and that wait.
func (p *Pool) Demand(name fleet.TeamName) (running, waiting int) {
	t, ok := p.teams[name]
	if !ok {
		return 0, 0
	}
	return t.running, t.queue.Len()
}

// Arrive admits a request, lets it wait, or refuses it.
func (p *Pool) Arrive(ticket *Ticket, now time.Time) (admitted bool, refused *refusal.Refusal) {
	t := p.team(ticket.Team)
	service := p.pace.estimate(ticket.MaxTokens)
	if now.Add(service).After(ticket.Deadline) {
		return false, refusal.New(refusal.DeadlineTooShort, 0, "the answer takes longer than the request may wait")
	}
	if t.queue.Len() == 0 && p.mayRun(ticket.Team, t) {
		p.start(t)
		return true, nil
	}
	if refused := p.checkQueue(ticket, t, service, now); refused != nil {
		return false, refused
	}
	heap.Push(&t.queue, ticket)
	p.waiting++
	return false, nil
}

// checkQueue refuses a request that would wait for nothing.
func (p *Pool) checkQueue(ticket *Ticket, t *team, service time.Duration, now time.Time) *refusal.Refusal {
	wait := p.expectedWait(ticket, t)
	comeBack := max(wait, minComeBack)
	switch {
	case ticket.Returning:
	case t.queue.Len() >= t.queueLength:
		return refusal.New(refusal.TeamOverShare, comeBack, "the team's queue is full")
	case p.waiting >= p.bounds.QueueLength, ticket.NoWait:
		return refusal.New(refusal.Overloaded, comeBack, "the queue is full")
	case wait > p.bounds.QueueWait:
		return refusal.New(refusal.Overloaded, comeBack, "the request would wait too long")
	}
	ticket.StartBy = now.Add(p.bounds.QueueWait)
	if latest := ticket.Deadline.Add(-service); latest.Before(ticket.StartBy) {
		ticket.StartBy = latest
	}
	if !ticket.Returning && now.Add(wait).After(ticket.StartBy) {
		return refusal.New(refusal.DeadlineTooShort, comeBack, "the request cannot finish in time")
	}
	return nil
}

// expectedWait is the time until the requests before a new one have started, at
// the pace of the team's part of the capacity in the data centre.
func (p *Pool) expectedWait(ticket *Ticket, t *team) time.Duration {
	ahead := float64(t.queue.before(ticket)+1) / float64(t.queue.Len()+1)
	return time.Duration(float64(p.pace.mean()) * p.allowed.Backlog[ticket.Team] * ahead)
}

// Depart ends a request that ran. An answer that was whole teaches the pace.
func (p *Pool) Depart(ticket *Ticket, took time.Duration, whole bool) {
	p.team(ticket.Team).running--
	p.running--
	if whole {
		p.pace.saw(took, ticket.MaxTokens)
	}
}

// Next starts the waiting request whose team uses least of its part, or returns
// nil. Requests whose latest start has passed are left to Abandon.
func (p *Pool) Next(now time.Time) *Ticket {
	t := p.neediest(now)
	if t == nil {
		return nil
	}
	ticket := heap.Pop(&t.queue).(*Ticket)
	p.waiting--
	p.start(t)
	return ticket
}

func (p *Pool) neediest(now time.Time) *team {
	var best *team
	var bestName fleet.TeamName
	bestUse := 0.0
	for name, t := range p.teams {
		p.dropLate(t, now)
		if t.queue.Len() == 0 || !p.mayRun(name, t) {
			continue
		}
		use := float64(t.running) / float64(p.allowed.Limit(name))
		if best == nil || use < bestUse || use == bestUse && name < bestName {
			best, bestName, bestUse = t, name, use
		}
	}
	return best
}

// dropLate takes requests out of the queue that can no longer finish in time.
func (p *Pool) dropLate(t *team, now time.Time) {
	for t.queue.Len() > 0 && now.After(t.queue[0].StartBy) {
		heap.Pop(&t.queue).(*Ticket).place = gone
		p.waiting--
	}
}

// Abandon takes a waiting request out of its queue.
func (p *Pool) Abandon(ticket *Ticket) {
	t := p.team(ticket.Team)
	if ticket.place == gone || ticket.place >= t.queue.Len() || t.queue[ticket.place] != ticket {
		return
	}
	heap.Remove(&t.queue, ticket.place)
	p.waiting--
}

func (p *Pool) mayRun(name fleet.TeamName, t *team) bool {
	return p.running < p.allowed.Slots && t.running < p.allowed.Limit(name)
}

// hasRoom reports whether a request of a team would run at once.
func (p *Pool) hasRoom(name fleet.TeamName) bool {
	t := p.team(name)
	return t.queue.Len() == 0 && p.mayRun(name, t)
}

func (p *Pool) start(t *team) {
	t.running++
	p.running++
}

func (p *Pool) team(name fleet.TeamName) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{queueLength: p.bounds.QueueLength}
		p.teams[name] = t
	}
	return t
}
