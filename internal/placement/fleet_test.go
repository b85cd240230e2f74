package placement_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/rhythm"
)

// fleet plays a load in virtual time: many daemons place requests at a few groups
// that work by the published model of an engine's pace, and hear of each other's
// requests late.
type fleet struct {
	daemons int
	groups  int
	slots   int           // that the groups have
	keep    int           // requests that the daemons place at a group, if fewer than it has slots; 0: all of them
	perS    float64       // requests
	prompt  float64       // mean tokens
	answer  float64       // mean tokens
	every   time.Duration // between two tellings
	lag     time.Duration // from the count to its receiver
	blind   bool          // nothing is told
	byWorth bool          // what is worth more goes first at a group, in place of what came first
	polled  time.Duration // age of a report of the group that is used in place of what is told; 0: none
	length  time.Duration // of the day
	choose  chooser
	random  *rand.Rand
	now     time.Duration
	running []*playedGroup
	own     [][]int   // by daemon and group, in progress
	told    [][][]int // own by tick
	views   [][]*placement.Target
	result  outcome
}

// chooser picks a target for a request of a daemon.
type chooser func(targets []*placement.Target, demand placement.Demand) *placement.Target

// outcome counts what callers got.
type outcome struct {
	asked, inTime, late, refused int
	offered, earned              float64 // worth
}

// worth is the share of the worth that callers got, of which what is late counts a
// quarter, as the fleets' sheets do about.
func (o outcome) worth() float64 { return o.earned / o.offered }

func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(o.asked) }

const (
	playedStride    = 5
	playedChunk     = 2048
	playedStep      = 6450 * time.Microsecond
	playedPerWriter = 97 * time.Microsecond
	playedReadPerMS = 56.1 // tokens
	playedPace      = 0.6  // of the model that is asked for most
	playedLateShare = 0.25 // of the worth
	playedObjective = 300 * time.Millisecond
	playedTick      = 10 * time.Millisecond
)

// playedGroup works in passes.
type playedGroup struct {
	index   int
	waiting []*playedRequest
	batch   []*playedRequest
	ends    time.Duration // of the pass under way; 0: idle
}

type playedRequest struct {
	daemon, group int
	asked         time.Duration
	unread, left  float64 // tokens
	worth         float64
	begun         bool
}

func (f *fleet) play() outcome {
	f.prepare()
	next := f.gapToNext()
	for tick := time.Duration(0); tick < f.length; tick += playedTick {
		f.count()
		for {
			group := f.nextPass()
			switch {
			case group != nil && group.ends <= next && group.ends <= tick:
				f.now = group.ends
				f.endPass(group)
			case next <= tick:
				f.now = next
				f.ask()
				next += f.gapToNext()
			default:
				group = nil
			}
			if next > tick && (f.nextPass() == nil || f.nextPass().ends > tick) {
				break
			}
		}
	}
	return f.result
}

func (f *fleet) prepare() {
	f.random = rand.New(rand.NewPCG(1, 2))
	for g := range f.groups {
		f.running = append(f.running, &playedGroup{index: g})
	}
	for range f.daemons {
		f.own = append(f.own, make([]int, f.groups))
		var view []*placement.Target
		for g := range f.groups {
			slots := f.slots
			if f.keep > 0 {
				slots = f.keep
			}
			view = append(view, &placement.Target{Key: string(rune('a' + g)), Zone: "z", Slots: slots, Meter: rhythm.NewMeter()})
		}
		f.views = append(f.views, view)
	}
}

func (f *fleet) gapToNext() time.Duration {
	return time.Duration(f.random.ExpFloat64() / f.perS * float64(time.Second))
}

// count notes what each daemon has in progress, for the tellings to come.
func (f *fleet) count() {
	snapshot := make([][]int, f.daemons)
	for d := range f.own {
		snapshot[d] = append([]int(nil), f.own[d]...)
	}
	f.told = append(f.told, snapshot)
}

// look sets what a daemon believes of the others' requests.
func (f *fleet) look(daemon int) {
	if f.blind {
		return
	}
	at := (f.now - f.lag) / f.every * f.every
	if f.polled > 0 {
		at = f.now - f.polled
	}
	tick := min(max(int(at/playedTick), 0), len(f.told)-1)
	for g, target := range f.views[daemon] {
		others := 0
		for d := range f.told[tick] {
			if d != daemon {
				others += f.told[tick][d][g]
			}
		}
		target.Meter.SetElsewhere(others)
	}
}

func (f *fleet) ask() {
	f.result.asked++
	worth := 1 + float64(f.random.IntN(2))
	f.result.offered += worth
	daemon := f.random.IntN(f.daemons)
	f.look(daemon)
	target := f.choose(f.views[daemon], placement.Demand{
		Zone: "z", Grouped: true, Daemons: f.daemons, Delay: f.every + f.lag, Random: f.random.Float64(), Now: time.Unix(0, 0).Add(f.now),
	})
	if target == nil {
		f.result.refused++
		return
	}
	group := int(target.Key[0] - 'a')
	target.Meter.Begin(time.Unix(0, 0).Add(f.now))
	f.own[daemon][group]++
	f.running[group].waiting = append(f.running[group].waiting, &playedRequest{
		daemon: daemon, group: group, asked: f.now,
		unread: f.prompt * (0.5 + f.random.Float64()), left: f.answer * (0.5 + f.random.Float64()), worth: worth,
	})
	if f.byWorth {
		slices.SortStableFunc(f.running[group].waiting, func(a, b *playedRequest) int { return cmp.Compare(b.worth, a.worth) })
	}
	if f.running[group].ends == 0 {
		f.beginPass(f.running[group])
	}
}

func (f *fleet) nextPass() *playedGroup {
	var next *playedGroup
	for _, group := range f.running {
		if group.ends > 0 && (next == nil || group.ends < next.ends) {
			next = group
		}
	}
	return next
}

func (f *fleet) beginPass(g *playedGroup) {
	for len(g.waiting) > 0 && len(g.batch) < f.slots {
		g.batch = append(g.batch, g.waiting[0])
		g.waiting = g.waiting[1:]
	}
	if len(g.batch) == 0 {
		g.ends = 0
		return
	}
	writers, read, budget := 0, 0.0, float64(playedStride*playedChunk)
	for _, r := range g.batch {
		if r.unread == 0 {
			writers++
			continue
		}
		part := min(r.unread, budget)
		budget -= part
		read += part
		r.unread -= part
	}
	step := float64(playedStep) + float64(writers)*float64(playedPerWriter)
	reading := read / playedReadPerMS * float64(time.Millisecond)
	g.ends = f.now + time.Duration(playedPace*(playedStride*step+reading))
}

func (f *fleet) endPass(g *playedGroup) {
	kept := g.batch[:0]
	for _, r := range g.batch {
		if r.unread == 0 {
			f.event(r)
		}
		if r.unread == 0 && r.left <= 0 {
			f.finish(r)
			continue
		}
		kept = append(kept, r)
	}
	g.batch = kept
	f.beginPass(g)
}

func (f *fleet) event(r *playedRequest) {
	r.left -= playedStride
	if r.begun {
		return
	}
	r.begun = true
	if f.now-r.asked <= playedObjective {
		f.result.inTime++
		f.result.earned += r.worth
	} else {
		f.result.late++
		f.result.earned += playedLateShare * r.worth
	}
}

func (f *fleet) finish(r *playedRequest) {
	f.own[r.daemon][r.group]--
	f.views[r.daemon][r.group].Meter.End()
}
