package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/route"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	loadDaemons  = 3
	loadGroups   = 3
	groupSlots   = 16
	loadRoom     = 4 // bytes for changes in an update; too few for all teams
	loadStep     = 5 * time.Millisecond
	loadDuration = 60 * time.Second
	loadWarmUp   = 10 * time.Second
	meanService  = time.Second
	loadTimeout  = 3 * time.Second
	loadModel    = fleet.ModelName("m")
	flooding     = fleet.TeamName("flood")
)

// overload simulates the admission of three daemons in virtual time.
type overload struct {
	random    *rand.Rand
	now       time.Time
	begin     time.Time
	admission bool // if false, every request goes to a group at once
	byLoad    bool // if false, requests go to the groups round robin
	states    []*state
	groups    []*loadGroup
	jobs      map[*Ticket]*job
	nextGroup int

	offered, good, refusals map[fleet.TeamName]int
	waits                   []time.Duration
}

type loadGroup struct {
	serving  *view.Serving
	slowdown float64
	running  []*job
	queue    []*job
}

type job struct {
	ticket  *Ticket
	state   *state
	arrived time.Time
	service time.Duration
	started time.Time
	ends    time.Time
}

func newOverload(admission, byLoad bool) *overload {
	o := &overload{
		random: rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 2)), begin: time.Unix(1000, 0), now: time.Unix(1000, 0),
		admission: admission, byLoad: byLoad, jobs: map[*Ticket]*job{},
		offered: map[fleet.TeamName]int{}, good: map[fleet.TeamName]int{}, refusals: map[fleet.TeamName]int{},
	}
	current := &view.View{At: o.now}
	current.Config.Models = []config.Model{{Name: loadModel}}
	for _, name := range []fleet.TeamName{"a", "b", "c", flooding} {
		current.Config.Teams = append(current.Config.Teams, config.Team{Name: name, Share: 1})
	}
	for i := range loadGroups {
		serving := &view.Serving{Group: fleet.Group{Fencing: fleet.FencingNumber(i + 1), Model: loadModel}, Capacity: groupSlots, ValidUntil: o.now.Add(time.Hour), Load: &view.Load{}}
		o.groups = append(o.groups, &loadGroup{serving: serving, slowdown: 1})
		current.Groups = append(current.Groups, serving)
	}
	o.groups[0].slowdown = 1.5
	views := view.NewStore()
	views.Publish(current)
	for i := range loadDaemons {
		o.states = append(o.states, newState(views, Bounds{QueueLength: 256, QueueWait: 500 * time.Millisecond}, newPeers(fleet.DaemonID(rune('a'+i)), loadDaemons)))
	}
	return o
}

// run simulates loadDuration with requests of the other teams at othersRate each and of the
// flooding team at floodRate, in requests per second.
func (o *overload) run(othersRate, floodRate float64) {
	for step := 0; o.now.Sub(o.begin) < loadDuration; step++ {
		o.now = o.now.Add(loadStep)
		o.finish()
		if step%20 == 0 {
			o.exchange()
		}
		for _, team := range []fleet.TeamName{"a", "b", "c"} {
			o.arrivals(team, othersRate)
		}
		o.arrivals(flooding, floodRate)
		o.startWaiting()
	}
}

func (o *overload) exchange() {
	updates := make([]usageUpdate, len(o.states))
	for i, s := range o.states {
		updates[i], _ = s.rebalance(o.now, loadRoom)
	}
	for i, s := range o.states {
		for j := range o.states {
			if i != j {
				Expect(s.applyUpdate(o.states[j].peers.self, updates[j], o.now)).To(BeFalse())
			}
		}
	}
}

func (o *overload) arrivals(team fleet.TeamName, rate float64) {
	chance := rate * loadStep.Seconds()
	for chance > 0 {
		if o.random.Float64() < chance {
			o.arrive(team)
		}
		chance--
	}
}

func (o *overload) arrive(team fleet.TeamName) {
	ticket := &Ticket{Team: team, Deadline: o.now.Add(loadTimeout)}
	service := time.Duration((0.5 + o.random.Float64()) * float64(meanService))
	j := &job{ticket: ticket, arrived: o.now, service: service, state: o.states[o.random.IntN(loadDaemons)]}
	if o.warmedUp() {
		o.offered[team]++
	}
	if !o.admission {
		o.dispatch(j)
		return
	}
	admitted, refused := j.state.arrive(loadModel, ticket, o.now)
	switch {
	case admitted:
		o.dispatch(j)
	case refused == nil:
		o.jobs[ticket] = j
	default:
		o.refusals[team+fleet.TeamName(refused.Reason)]++
	}
}

func (o *overload) warmedUp() bool { return o.now.Sub(o.begin) > loadWarmUp }

func (o *overload) startWaiting() {
	for _, s := range o.states {
		for ticket := s.pool(loadModel).Next(o.now); ticket != nil; ticket = s.pool(loadModel).Next(o.now) {
			o.dispatch(o.jobs[ticket])
			delete(o.jobs, ticket)
		}
	}
}

func (o *overload) dispatch(j *job) {
	g := o.groups[o.nextGroup%loadGroups]
	o.nextGroup++
	if o.byLoad {
		scored := route.Score(o.states[0].views.Load().Groups, o.begin, o.now)
		best, _ := route.PickBest(scored, 0)
		g = o.groups[best.Fencing-1]
	}
	g.serving.Load.Begin()
	g.queue = append(g.queue, j)
	o.admitToBatch(g)
}

func (o *overload) admitToBatch(g *loadGroup) {
	for len(g.running) < groupSlots && len(g.queue) > 0 {
		j := g.queue[0]
		g.queue = g.queue[1:]
		j.started = o.now
		j.ends = o.now.Add(time.Duration(float64(j.service) * g.slowdown))
		g.running = append(g.running, j)
		if o.warmedUp() {
			o.waits = append(o.waits, o.now.Sub(j.arrived))
		}
	}
}

// finish ends the requests whose answer is complete or whose deadline has passed.
func (o *overload) finish() {
	for _, g := range o.groups {
		ended := func(j *job) bool {
			complete := !j.ends.IsZero() && !o.now.Before(j.ends)
			if !complete && o.now.Before(j.ticket.Deadline) {
				return false
			}
			o.end(g, j, complete)
			return true
		}
		g.running = slices.DeleteFunc(g.running, ended)
		g.queue = slices.DeleteFunc(g.queue, ended)
		o.admitToBatch(g)
	}
}

func (o *overload) end(g *loadGroup, j *job, complete bool) {
	g.serving.Load.End()
	if complete {
		g.serving.Load.SawNextToken(time.Duration(g.slowdown * float64(time.Millisecond)))
	}
	if complete && o.warmedUp() {
		o.good[j.ticket.Team]++
	}
	if o.admission {
		j.state.pool(loadModel).Depart(j.ticket, o.now.Sub(j.started), complete)
	}
}

func (o *overload) goodput() float64 {
	total := 0
	for _, count := range o.good {
		total += count
	}
	return float64(total) / (loadDuration - loadWarmUp).Seconds()
}

func (o *overload) p95Start() time.Duration {
	slices.Sort(o.waits)
	return o.waits[len(o.waits)*95/100]
}

var _ = Describe("Admission under overload", func() {
	// capacity is the number of requests per second that the groups can serve with the mean
	// service time. The slots of the slow group count less.
	const capacity = float64(groupSlots) * (2 + 1/1.5)
	loads := []float64{0.5, 0.8, 1, 1.5, 2, 3}
	sweep := func(admission, byLoad bool) (goodput []float64, last *overload) {
		for _, load := range loads {
			last = newOverload(admission, byLoad)
			others := 0.9 * capacity / 4
			last.run(min(others, load*capacity/4), max(load*capacity-3*others, load*capacity/4))
			goodput = append(goodput, last.goodput())
		}
		return goodput, last
	}

	It("preserves goodput, team shares and time to first token", func() {
		admitted, last := sweep(true, true)
		unlimited, unlimitedLast := sweep(false, true)
		turns, turnsLast := sweep(false, false)
		fmt.Fprintf(GinkgoWriter, "load %v\nadmission %.1f p95 start %s\nno admission %.1f p95 start %s\nround robin %.1f p95 start %s\noffered %v good %v refused %v\n",
			loads, admitted, last.p95Start(), unlimited, unlimitedLast.p95Start(), turns, turnsLast.p95Start(), last.offered, last.good, last.refusals)
		final := len(loads) - 1
		Expect(admitted[final]).To(BeNumerically(">=", 0.95*slices.Max(admitted)))
		Expect(admitted[final]).To(BeNumerically(">", unlimited[final]))
		Expect(admitted[final]).To(BeNumerically(">", turns[final]))
		for _, team := range []fleet.TeamName{"a", "b", "c"} {
			Expect(float64(last.good[team])).To(BeNumerically(">=", 0.95*float64(last.offered[team])), string(team))
		}
		Expect(last.p95Start()).To(BeNumerically("<=", time.Second))
	})
})
