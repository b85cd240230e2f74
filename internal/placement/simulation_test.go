package placement_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// simulation runs a load in virtual time: many daemons place requests at a few groups,
// whose speed follows the published performance model of an engine, and learn of each other's
// requests with a delay.
type simulation struct {
	daemons            int
	groups             int
	slots              int           // of each group
	batchLimit         int           // slots of a group as the daemons see them; 0: the same as slots
	rate               float64       // requests a second
	promptTokens       float64       // mean tokens
	answerTokens       float64       // mean tokens
	publishInterval    time.Duration // between two publications of a daemon's requests
	deliveryDelay      time.Duration // from the count until it is received
	isolated           bool          // daemons publish nothing
	highValueFirst     bool          // groups queue requests by value instead of by arrival
	pollAge            time.Duration // age of the polled group reports that replace the published counts; 0: no polling
	duration           time.Duration // simulated time
	knownPrefill       bool          // daemons know the prompt tokens that wait for prefill
	timeScale          float64       // factor on the groups' pass durations; 0: simTimeScale
	latencyTarget      time.Duration // for the time to the first event; 0: simLatencyTarget
	maxPause           time.Duration // longest pass of which the events are in time; 0: unlimited
	failing            []int         // groups that take no requests during the second half of each failurePeriod, and drain meanwhile
	failurePeriod      time.Duration // period of the failures; 0: no failures
	retryDelay         retryDelay    // of the single retry of a refused caller; nil: no retry
	choose             chooser
	engine             simEngine                   // of the groups; zero: defaultEngine
	classes            []simClass                  // of the requests; none: promptTokens, answerTokens and latencyTarget, with values
	rateAt             func(time.Duration) float64 // requests a second at a time; nil: rate
	lost               []int                       // groups that are lost for good at lostAt, with their requests placed elsewhere
	lostAt             time.Duration
	slow               *simSlowdown  // of some groups; nil: none
	measureFrom        time.Duration // arrivals before it are not counted
	measureUntil       time.Duration // nor those after it; 0: unlimited
	seed               uint64
	random             *rand.Rand
	now                time.Duration
	engines            []*simGroup
	inFlight           [][]int   // requests in progress by daemon and group
	reported           [][][]int // inFlight by tick
	prefilling         [][]int   // prompt tokens that wait for prefill by daemon and group
	reportedPrefilling [][][]int // prefilling by tick
	views              [][]*placement.Target
	retries            []retry
	result             outcome
	byClass            []outcome
	arrivals           [][]int    // first attempts by tick and class
	decisions          *rand.Rand // of admission
	demandTick         int        // newest tick in knownDemand
	knownDemand        overload.Demand
	placingDaemon      int // daemon whose request is being placed
}

// chooser picks a target for a request of a daemon.
type chooser func(targets []*placement.Target, requirements placement.Requirements) *placement.Target

// retryDelay returns the time after which a refused caller retries, given the remaining
// time of its request.
type retryDelay func(remaining time.Duration, random float64) time.Duration

// retry is a refused request that its caller will send again.
type retry struct {
	arrivedAt, retryAt time.Duration
	value              float64
	class              int
}

// outcome counts requests by result.
type outcome struct {
	arrived, inTime, late, refused int
	offeredValue, earnedValue      float64 // sums of the value of requests
}

// goodput is the share of the offered value that was earned. A late answer earns
// simLateValueShare, which approximates the specifications of the fleets.
func (o outcome) goodput() float64 { return o.earnedValue / o.offeredValue }

func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(o.arrived) }

// simClass is a class of requests.
type simClass struct {
	share                      float64 // of the requests
	promptTokens, answerTokens float64 // mean tokens
	latencyTarget              time.Duration
	priority                   int
}

// simEngine is the published performance of a group.
type simEngine struct {
	stepsPerPass    int
	stepTime        time.Duration // of a step without requests
	decodeTime      time.Duration // added to a step for each decoding request
	prefillRate     float64       // prompt tokens a millisecond
	maxPromptTokens float64       // above 0: prompts are exponential up to this length
}

var defaultEngine = simEngine{stepsPerPass: simStepsPerPass, stepTime: 6450 * time.Microsecond, decodeTime: 97 * time.Microsecond, prefillRate: 56.1}

const (
	simStepsPerPass       = 5    // decode steps a pass
	simPrefillChunkTokens = 2048 // maximum of prompt tokens prefilled a step
	simTimeScale          = 0.6  // of the most requested model
	simLateValueShare     = 0.25 // value of a late answer as a share of the value in time
	simLatencyTarget      = 300 * time.Millisecond
	simCallerTimeout      = 6 * time.Second
	simTick               = 10 * time.Millisecond
)

// simGroup simulates the engine passes of a group.
type simGroup struct {
	index   int
	waiting []*simRequest
	batch   []*simRequest
	begins  time.Duration // start of the current pass
	ends    time.Duration // end of the current pass; 0: idle
}

type simRequest struct {
	daemon, group           int
	arrivedAt               time.Duration
	prefillLeft, decodeLeft float64 // tokens
	value                   float64
	promptTokens            int // tokens
	class                   int
	started                 bool
	lastEvent               time.Duration
	late                    bool
}

func (f *simulation) run() outcome {
	f.prepare()
	next := f.interarrival()
	for tick := time.Duration(0); tick < f.duration; tick += simTick {
		f.snapshot()
		f.retryRefused(tick)
		if len(f.lost) > 0 && tick == f.lostAt {
			f.loseGroups(tick)
		}
		for {
			group := f.nextPass()
			switch {
			case group != nil && group.ends <= next && group.ends <= tick:
				f.now = group.ends
				f.endPass(group)
			case next <= tick:
				f.now = next
				f.arrive()
				next += f.interarrival()
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

func (f *simulation) prepare() {
	f.random = rand.New(rand.NewPCG(1, 2+f.seed))
	if f.engine.stepsPerPass == 0 {
		f.engine = defaultEngine
	}
	f.byClass = make([]outcome, max(len(f.classes), 1))
	for g := range f.groups {
		f.engines = append(f.engines, &simGroup{index: g})
	}
	for range f.daemons {
		f.inFlight = append(f.inFlight, make([]int, f.groups))
		f.prefilling = append(f.prefilling, make([]int, f.groups))
		var view []*placement.Target
		for g := range f.groups {
			slots := f.slots
			if f.batchLimit > 0 {
				slots = f.batchLimit
			}
			target := &placement.Target{Key: string(rune('a' + g)), DataCentre: "z", Slots: slots, Meter: targetstats.NewMeter()}
			if f.knownPrefill {
				target.MaxPrefillTokensPerPass = f.engine.stepsPerPass * simPrefillChunkTokens
			}
			view = append(view, target)
		}
		f.views = append(f.views, view)
	}
}

func (f *simulation) interarrival() time.Duration {
	rate := f.rate
	if f.rateAt != nil {
		rate = f.rateAt(f.now)
	}
	return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
}

// snapshot records the requests in progress of each daemon, for later publication.
func (f *simulation) snapshot() {
	f.reported = append(f.reported, clone2D(f.inFlight))
	f.reportedPrefilling = append(f.reportedPrefilling, clone2D(f.prefilling))
	f.arrivals = append(f.arrivals, make([]int, len(f.byClass)))
}

// clone2D returns a copy of the rows with their sum as another row: one allocation for each
// tick, and no walk over all daemons for each request.
func clone2D(rows [][]int) [][]int {
	snapshot := make([][]int, len(rows)+1)
	flat := make([]int, (len(rows)+1)*len(rows[0]))
	sum := flat[len(rows)*len(rows[0]):]
	snapshot[len(rows)] = sum
	for i, row := range rows {
		snapshot[i] = flat[i*len(row) : (i+1)*len(row)]
		copy(snapshot[i], row)
		for j, value := range row {
			sum[j] += value
		}
	}
	return snapshot
}

// updateView sets the requests of other daemons that a daemon knows of at f.now.
func (f *simulation) updateView(daemon int) {
	if f.isolated {
		return
	}
	at := (f.now - f.deliveryDelay) / f.publishInterval * f.publishInterval
	if f.pollAge > 0 {
		at = f.now - f.pollAge
	}
	tick := min(max(int(at/simTick), 0), len(f.reported)-1)
	for g, target := range f.views[daemon] {
		load, prefilling := f.reported[tick], f.reportedPrefilling[tick]
		target.Meter.SetRemoteInFlight(load[f.daemons][g] - load[daemon][g])
		target.Meter.SetRemotePrefillTokens(prefilling[f.daemons][g] - prefilling[daemon][g])
	}
}

func (f *simulation) arrive() {
	value := 1 + float64(f.random.IntN(2))
	class := f.pickClass()
	f.arrivals[len(f.arrivals)-1][class]++
	f.count(f.now, class, func(o *outcome) {
		o.arrived++
		o.offeredValue += value
	})
	if f.place(f.now, value, class, false) {
		return
	}
	if f.retryDelay == nil {
		f.refuse(f.now, class)
		return
	}
	f.retries = append(f.retries, retry{arrivedAt: f.now, retryAt: f.now + f.retryDelay(simCallerTimeout, f.random.Float64()), value: value, class: class})
}

func (f *simulation) pickClass() int {
	if len(f.classes) < 2 {
		return 0
	}
	remaining := f.random.Float64()
	for i, class := range f.classes {
		remaining -= class.share
		if remaining < 0 {
			return i
		}
	}
	return len(f.classes) - 1
}

// class returns a class of requests.
func (f *simulation) class(i int) simClass {
	if len(f.classes) == 0 {
		return simClass{promptTokens: f.promptTokens, answerTokens: f.answerTokens, latencyTarget: cmp.Or(f.latencyTarget, simLatencyTarget)}
	}
	return f.classes[i]
}

// count changes the results if a request arrived at a time that is measured.
func (f *simulation) count(arrivedAt time.Duration, class int, change func(*outcome)) {
	if arrivedAt < f.measureFrom || f.measureUntil > 0 && arrivedAt >= f.measureUntil {
		return
	}
	change(&f.result)
	change(&f.byClass[class])
}

func (f *simulation) refuse(arrivedAt time.Duration, class int) {
	f.count(arrivedAt, class, func(o *outcome) { o.refused++ })
}

// loseGroups ends the lost groups. Their requests go to other groups, where the prompts and
// what has been answered are prefilled again.
func (f *simulation) loseGroups(tick time.Duration) {
	f.now = max(f.now, tick)
	var moved []*simRequest
	for _, g := range f.lost {
		group := f.engines[g]
		moved = append(append(moved, group.batch...), group.waiting...)
		group.batch, group.waiting, group.ends = nil, nil, 0
	}
	for _, r := range moved {
		f.placingDaemon = r.daemon
		f.leave(r)
		if !r.started {
			f.endPrefill(r)
		}
		f.updateView(r.daemon)
		requirements := f.requirements(r.promptTokens, r.class, false)
		requirements.Resumed = r.started
		if target := f.choose(f.openTargets(r.daemon), requirements); target != nil {
			r.prefillLeft, r.started = float64(r.promptTokens), false
			f.send(r, target)
			continue
		}
		f.refuse(r.arrivedAt, r.class)
	}
}

// retryRefused places the requests whose retry is due.
func (f *simulation) retryRefused(tick time.Duration) {
	f.retries = slices.DeleteFunc(f.retries, func(r retry) bool {
		if r.retryAt > tick {
			return false
		}
		f.now = max(f.now, tick)
		if !f.place(r.arrivedAt, r.value, r.class, true) {
			f.refuse(r.arrivedAt, r.class)
		}
		return true
	})
}

// place reports whether a group took a request.
func (f *simulation) place(arrivedAt time.Duration, value float64, class int, late bool) bool {
	daemon := f.random.IntN(f.daemons)
	f.updateView(daemon)
	f.placingDaemon = daemon
	prompt := f.promptLength(f.class(class).promptTokens)
	target := f.choose(f.openTargets(daemon), f.requirements(int(prompt), class, late))
	if target == nil {
		return false
	}
	f.send(&simRequest{
		daemon: daemon, arrivedAt: arrivedAt, promptTokens: int(prompt), class: class,
		prefillLeft: prompt, decodeLeft: f.class(class).answerTokens * (0.5 + f.random.Float64()), value: value,
	}, target)
	return true
}

func (f *simulation) requirements(promptTokens, class int, late bool) placement.Requirements {
	return placement.Requirements{
		DataCentre: "z", Grouped: true, Late: late, PromptTokens: promptTokens, Priority: f.class(class).priority, Daemons: f.daemons,
		GossipDelay: f.publishInterval + f.deliveryDelay, Random: f.random.Float64(), Now: time.Unix(0, 0).Add(f.now),
	}
}

func (f *simulation) promptLength(mean float64) float64 {
	if f.engine.maxPromptTokens > 0 {
		return min(mean*(0.2+0.85*f.random.ExpFloat64()), f.engine.maxPromptTokens)
	}
	return mean * (0.5 + f.random.Float64())
}

func (f *simulation) send(r *simRequest, target *placement.Target) {
	r.group = int(target.Key[0] - 'a')
	target.Meter.Begin(time.Unix(0, 0).Add(f.now))
	target.Meter.BeginPrefill(r.promptTokens)
	f.inFlight[r.daemon][r.group]++
	f.prefilling[r.daemon][r.group] += r.promptTokens
	group := f.engines[r.group]
	group.waiting = append(group.waiting, r)
	if f.highValueFirst {
		slices.SortStableFunc(group.waiting, func(a, b *simRequest) int { return cmp.Compare(b.value, a.value) })
	}
	if group.ends == 0 {
		f.beginPass(group)
	}
}

// openTargets returns the targets of a daemon that are not failed at f.now.
func (f *simulation) openTargets(daemon int) []*placement.Target {
	if len(f.lost) > 0 && f.now >= f.lostAt {
		return without(f.views[daemon], f.lost)
	}
	if f.failurePeriod == 0 || f.now%f.failurePeriod < f.failurePeriod/2 {
		return f.views[daemon]
	}
	return without(f.views[daemon], f.failing)
}

func without(targets []*placement.Target, groups []int) []*placement.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t *placement.Target) bool {
		return slices.Contains(groups, int(t.Key[0]-'a'))
	})
}

func (f *simulation) nextPass() *simGroup {
	var next *simGroup
	for _, group := range f.engines {
		if group.ends > 0 && (next == nil || group.ends < next.ends) {
			next = group
		}
	}
	return next
}

func (f *simulation) beginPass(g *simGroup) {
	for len(g.waiting) > 0 && len(g.batch) < f.slots {
		g.batch = append(g.batch, g.waiting[0])
		g.waiting = g.waiting[1:]
	}
	if len(g.batch) == 0 {
		g.ends = 0
		return
	}
	decoding, prefilled, budget := 0, 0.0, float64(f.engine.stepsPerPass*simPrefillChunkTokens)
	for _, r := range g.batch {
		if r.prefillLeft == 0 {
			decoding++
			continue
		}
		part := min(r.prefillLeft, budget)
		budget -= part
		prefilled += part
		r.prefillLeft -= part
	}
	step := float64(f.engine.stepTime) + float64(decoding)*float64(f.engine.decodeTime)
	prefillTime := prefilled / f.engine.prefillRate * float64(time.Millisecond)
	g.begins = f.now
	g.ends = f.now + time.Duration(f.slow.at(g.index, f.now)*cmp.Or(f.timeScale, simTimeScale)*(float64(f.engine.stepsPerPass)*step+prefillTime))
}

func (f *simulation) endPass(g *simGroup) {
	pausedTooLong := f.maxPause > 0 && g.ends-g.begins > f.maxPause
	kept := g.batch[:0]
	for _, r := range g.batch {
		r.late = r.late || r.started && pausedTooLong
		if r.prefillLeft == 0 {
			f.event(r)
		}
		if r.prefillLeft == 0 && r.decodeLeft <= 0 {
			f.finish(r)
			continue
		}
		kept = append(kept, r)
	}
	g.batch = kept
	f.beginPass(g)
}

func (f *simulation) event(r *simRequest) {
	r.decodeLeft -= float64(f.engine.stepsPerPass)
	if f.slow != nil && r.started {
		f.views[r.daemon][r.group].Meter.ObserveEvent(time.Unix(0, 0).Add(f.now), f.now-r.lastEvent)
	}
	r.lastEvent = f.now
	if r.started {
		return
	}
	r.started = true
	r.late = f.now-r.arrivedAt > f.class(r.class).latencyTarget
	f.endPrefill(r)
	if f.maxPause == 0 {
		f.record(r)
	}
}

func (f *simulation) endPrefill(r *simRequest) {
	f.views[r.daemon][r.group].Meter.EndPrefill(r.promptTokens)
	f.prefilling[r.daemon][r.group] -= r.promptTokens
}

// leave ends a request at its group.
func (f *simulation) leave(r *simRequest) {
	f.inFlight[r.daemon][r.group]--
	f.views[r.daemon][r.group].Meter.End()
}

func (f *simulation) finish(r *simRequest) {
	f.leave(r)
	if f.maxPause > 0 {
		f.record(r)
	}
}

// record counts the result of a request. With unlimited pauses it is called at the
// first event, otherwise at the end.
func (f *simulation) record(r *simRequest) {
	f.count(r.arrivedAt, r.class, func(o *outcome) {
		if r.late {
			o.late++
			o.earnedValue += simLateValueShare * r.value
			return
		}
		o.inTime++
		o.earnedValue += r.value
	})
}
