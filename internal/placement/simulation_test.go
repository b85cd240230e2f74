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
	reads   bool          // prompts that wait to be read are known
	pace    float64       // factor on the groups' times; 0: playedPace
	aim     time.Duration // for the first event; 0: playedObjective
	pause   time.Duration // between two events that is in time; 0: any
	lost    []int         // groups that take nothing for the second half of each period, and are empty after it
	period  time.Duration // of losses; 0: none
	returns comeBack      // of refused callers, once; nil: they do not come back
	choose  chooser
	random  *rand.Rand
	now     time.Duration
	running []*playedGroup
	own     [][]int   // by daemon and group, in progress
	told    [][][]int // own by tick
	unread  [][]int   // by daemon and group, tokens that wait to be read
	toldRun [][][]int // unread by tick
	views   [][]*placement.Target
	away    []returning
	result  outcome
}

// chooser picks a target for a request of a daemon.
type chooser func(targets []*placement.Target, demand placement.Demand) *placement.Target

// comeBack returns when a refused caller comes back, by the time that it has left.
type comeBack func(left time.Duration, random float64) time.Duration

// returning is a caller that was refused.
type returning struct {
	asked, back time.Duration
	worth       float64
}

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
	playedPatience  = 6 * time.Second
	playedTick      = 10 * time.Millisecond
)

// playedGroup works in passes.
type playedGroup struct {
	index   int
	waiting []*playedRequest
	batch   []*playedRequest
	begins  time.Duration // of the pass under way
	ends    time.Duration // the same; 0: idle
}

type playedRequest struct {
	daemon, group int
	asked         time.Duration
	unread, left  float64 // tokens
	worth         float64
	prompt        int // tokens
	begun         bool
	late          bool
}

func (f *fleet) play() outcome {
	f.prepare()
	next := f.gapToNext()
	for tick := time.Duration(0); tick < f.length; tick += playedTick {
		f.count()
		f.takeBack(tick)
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
		f.unread = append(f.unread, make([]int, f.groups))
		var view []*placement.Target
		for g := range f.groups {
			slots := f.slots
			if f.keep > 0 {
				slots = f.keep
			}
			target := &placement.Target{Key: string(rune('a' + g)), Zone: "z", Slots: slots, Meter: rhythm.NewMeter()}
			if f.reads {
				target.Pass = playedStride * playedChunk
			}
			view = append(view, target)
		}
		f.views = append(f.views, view)
	}
}

func (f *fleet) gapToNext() time.Duration {
	return time.Duration(f.random.ExpFloat64() / f.perS * float64(time.Second))
}

// count notes what each daemon has in progress, for the tellings to come.
func (f *fleet) count() {
	f.told = append(f.told, copied(f.own))
	f.toldRun = append(f.toldRun, copied(f.unread))
}

func copied(rows [][]int) [][]int {
	snapshot := make([][]int, len(rows))
	for i, row := range rows {
		snapshot[i] = slices.Clone(row)
	}
	return snapshot
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
		others, unread := 0, 0
		for d := range f.told[tick] {
			if d != daemon {
				others += f.told[tick][d][g]
				unread += f.toldRun[tick][d][g]
			}
		}
		target.Meter.SetElsewhere(others)
		target.Meter.SetReadingElsewhere(unread)
	}
}

func (f *fleet) ask() {
	f.result.asked++
	worth := 1 + float64(f.random.IntN(2))
	f.result.offered += worth
	if f.place(f.now, worth, false) {
		return
	}
	if f.returns == nil {
		f.result.refused++
		return
	}
	f.away = append(f.away, returning{asked: f.now, back: f.now + f.returns(playedPatience, f.random.Float64()), worth: worth})
}

// takeBack places the requests of the callers that have come back.
func (f *fleet) takeBack(tick time.Duration) {
	f.away = slices.DeleteFunc(f.away, func(r returning) bool {
		if r.back > tick {
			return false
		}
		f.now = max(f.now, tick)
		if !f.place(r.asked, r.worth, true) {
			f.result.refused++
		}
		return true
	})
}

// place reports whether a group took a request.
func (f *fleet) place(asked time.Duration, worth float64, late bool) bool {
	daemon := f.random.IntN(f.daemons)
	f.look(daemon)
	prompt := f.prompt * (0.5 + f.random.Float64())
	target := f.choose(f.open(daemon), placement.Demand{
		Zone: "z", Grouped: true, Late: late, Prompt: int(prompt), Daemons: f.daemons, Delay: f.every + f.lag, Random: f.random.Float64(),
		Now: time.Unix(0, 0).Add(f.now),
	})
	if target == nil {
		return false
	}
	r := &playedRequest{
		daemon: daemon, group: int(target.Key[0] - 'a'), asked: asked, prompt: int(prompt),
		unread: prompt, left: f.answer * (0.5 + f.random.Float64()), worth: worth,
	}
	target.Meter.Begin(time.Unix(0, 0).Add(f.now))
	target.Meter.BeginReading(r.prompt)
	f.own[daemon][r.group]++
	f.unread[daemon][r.group] += r.prompt
	group := f.running[r.group]
	group.waiting = append(group.waiting, r)
	if f.byWorth {
		slices.SortStableFunc(group.waiting, func(a, b *playedRequest) int { return cmp.Compare(b.worth, a.worth) })
	}
	if group.ends == 0 {
		f.beginPass(group)
	}
	return true
}

// open returns the targets of a daemon that are not lost now.
func (f *fleet) open(daemon int) []*placement.Target {
	if f.period == 0 || f.now%f.period < f.period/2 {
		return f.views[daemon]
	}
	return slices.DeleteFunc(slices.Clone(f.views[daemon]), func(t *placement.Target) bool {
		return slices.Contains(f.lost, int(t.Key[0]-'a'))
	})
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
	g.begins = f.now
	g.ends = f.now + time.Duration(cmp.Or(f.pace, playedPace)*(playedStride*step+reading))
}

func (f *fleet) endPass(g *playedGroup) {
	paused := f.pause > 0 && g.ends-g.begins > f.pause
	kept := g.batch[:0]
	for _, r := range g.batch {
		r.late = r.late || r.begun && paused
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
	r.late = f.now-r.asked > cmp.Or(f.aim, playedObjective)
	f.views[r.daemon][r.group].Meter.EndReading(r.prompt)
	f.unread[r.daemon][r.group] -= r.prompt
	if f.pause == 0 {
		f.account(r)
	}
}

func (f *fleet) finish(r *playedRequest) {
	f.own[r.daemon][r.group]--
	f.views[r.daemon][r.group].Meter.End()
	if f.pause > 0 {
		f.account(r)
	}
}

// account counts what a caller got: by the first event, where a pause may be of any
// length.
func (f *fleet) account(r *playedRequest) {
	if r.late {
		f.result.late++
		f.result.earned += playedLateShare * r.worth
		return
	}
	f.result.inTime++
	f.result.earned += r.worth
}
