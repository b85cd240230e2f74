package admit

import (
	"container/heap"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	// minRetryAfter is the shortest time after which a refused request may be sent again.
	minRetryAfter = time.Second
	// minTeamQueue is the minimum length of a team's queue in requests.
	minTeamQueue = 4
)

// Pool admits the requests for one model on one daemon. It is not safe for concurrent use.
type Pool struct {
	bounds      Bounds
	teams       map[fleet.TeamName]*team
	allowed     Allotment
	running     int
	waiting     int
	serviceTime serviceTime

	allottedAt time.Time // last time at which the capacity was divided
}

// NewPool returns a Pool that admits nothing until SetAllotment is called.
func NewPool(bounds Bounds) *Pool {
	return &Pool{bounds: bounds, teams: map[fleet.TeamName]*team{}}
}

// SetAllotment replaces the daemon's part of the capacity.
func (p *Pool) SetAllotment(a Allotment) { p.allowed = a }

// SetQueueShare sets the part of the queue that a team may use, from 0 to 1.
func (p *Pool) SetQueueShare(name fleet.TeamName, part float64) {
	p.team(name).queueLength = max(int(part*float64(p.bounds.QueueLength)), minTeamQueue)
}

// Demand returns the number of running and of waiting requests of a team.
func (p *Pool) Demand(name fleet.TeamName) (running, waiting int) {
	t, ok := p.teams[name]
	if !ok {
		return 0, 0
	}
	return t.running, t.queue.Len()
}

// Arrive admits, queues or refuses a request.
func (p *Pool) Arrive(ticket *Ticket, now time.Time) (admitted bool, refused *refusal.Refusal) {
	t := p.team(ticket.Team)
	answerTime := p.serviceTime.estimate(ticket.MaxTokens)
	if now.Add(answerTime).After(ticket.Deadline) {
		return false, refusal.New(refusal.DeadlineTooShort, 0, "the answer takes longer than the request may wait")
	}
	if t.queue.Len() == 0 && p.mayRun(ticket.Team, t) {
		p.start(t)
		return true, nil
	}
	if refused := p.checkQueue(ticket, t, answerTime, now); refused != nil {
		return false, refused
	}
	heap.Push(&t.queue, ticket)
	p.waiting++
	return false, nil
}

// checkQueue refuses a request that exceeds the limits of the queue or could not start in
// time. It sets StartBy.
func (p *Pool) checkQueue(ticket *Ticket, t *team, answerTime time.Duration, now time.Time) *refusal.Refusal {
	wait := p.expectedWait(ticket, t)
	retryAfter := max(wait, minRetryAfter)
	switch {
	case ticket.Readmitted:
	case t.queue.Len() >= t.queueLength:
		return refusal.New(refusal.TeamOverShare, retryAfter, "the team's queue is full")
	case p.waiting >= p.bounds.QueueLength, ticket.NoWait:
		return refusal.New(refusal.Overloaded, retryAfter, "the queue is full")
	case wait > p.bounds.QueueWait:
		return refusal.New(refusal.Overloaded, retryAfter, "the request would wait too long")
	}
	ticket.StartBy = now.Add(p.bounds.QueueWait)
	if latest := ticket.Deadline.Add(-answerTime); latest.Before(ticket.StartBy) {
		ticket.StartBy = latest
	}
	if !ticket.Readmitted && now.Add(wait).After(ticket.StartBy) {
		return refusal.New(refusal.DeadlineTooShort, retryAfter, "the request cannot finish in time")
	}
	return nil
}

// expectedWait estimates the time until the requests ahead of a new one have started, from
// the team's backlog in the whole data centre and the average service time.
func (p *Pool) expectedWait(ticket *Ticket, t *team) time.Duration {
	ahead := float64(t.queue.countBefore(ticket)+1) / float64(t.queue.Len()+1)
	return time.Duration(float64(p.serviceTime.mean()) * p.allowed.Backlog[ticket.Team] * ahead)
}

// Depart records the end of a running request. Only a complete answer updates the service
// time estimate.
func (p *Pool) Depart(ticket *Ticket, took time.Duration, complete bool) {
	p.team(ticket.Team).running--
	p.running--
	if complete {
		p.serviceTime.observe(took, ticket.MaxTokens)
	}
}

// Next starts the next request of the team with the lowest utilisation of its limit and
// returns it, or nil if no request may start. Requests past their latest start are
// dropped from the queue.
func (p *Pool) Next(now time.Time) *Ticket {
	t := p.leastServed(now)
	if t == nil {
		return nil
	}
	ticket := heap.Pop(&t.queue).(*Ticket)
	p.waiting--
	p.start(t)
	return ticket
}

// leastServed returns the team with waiting requests that may run and the lowest utilisation
// of its limit, or nil.
func (p *Pool) leastServed(now time.Time) *team {
	var best *team
	var bestName fleet.TeamName
	bestUse := 0.0
	for name, t := range p.teams {
		p.dropExpired(t, now)
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

// dropExpired removes the requests that have passed their latest start from a team's queue.
func (p *Pool) dropExpired(t *team, now time.Time) {
	for t.queue.Len() > 0 && now.After(t.queue[0].StartBy) {
		heap.Pop(&t.queue).(*Ticket).queueIndex = notQueued
		p.waiting--
	}
}

// Abandon removes a waiting request from its queue.
func (p *Pool) Abandon(ticket *Ticket) {
	t := p.team(ticket.Team)
	if ticket.queueIndex == notQueued || ticket.queueIndex >= t.queue.Len() || t.queue[ticket.queueIndex] != ticket {
		return
	}
	heap.Remove(&t.queue, ticket.queueIndex)
	p.waiting--
}

func (p *Pool) mayRun(name fleet.TeamName, t *team) bool {
	return p.running < p.allowed.Slots && t.running < p.allowed.Limit(name)
}

// hasRoom reports whether a request of a team would start at once.
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
