package placement_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/rhythm"
)

// simulation runs a load in virtual time: many daemons place requests at a few groups,
// whose speed follows the published pace model of an engine, and learn of each other's
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
	objective          time.Duration // for the time to the first event; 0: simObjective
	maxPause           time.Duration // longest pass of which the events are in time; 0: unlimited
	failing            []int         // groups that take no requests during the second half of each failurePeriod, and drain meanwhile
	failurePeriod      time.Duration // period of the failures; 0: no failures
	retryDelay         retryDelay    // of the single retry of a refused caller; nil: no retry
	choose             chooser
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
}

// chooser picks a target for a request of a daemon.
type chooser func(targets []*placement.Target, demand placement.Demand) *placement.Target

// retryDelay returns the time after which a refused caller retries, given the remaining
// time of its request.
type retryDelay func(remaining time.Duration, random float64) time.Duration

// retry is a refused request that its caller will send again.
type retry struct {
	arrivedAt, retryAt time.Duration
	value              float64
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

const (
	simStride         = 5                       // decode steps a pass
	simChunk          = 2048                    // maximum of prompt tokens prefilled a step
	simStepTime       = 6450 * time.Microsecond // of a step without requests
	simDecodeTime     = 97 * time.Microsecond   // added to a step for each decoding request
	simPrefillRate    = 56.1                    // prompt tokens a millisecond
	simTimeScale      = 0.6                     // of the most requested model
	simLateValueShare = 0.25                    // value of a late answer as a share of the value in time
	simObjective      = 300 * time.Millisecond
	simCallerTimeout  = 6 * time.Second
	simTick           = 10 * time.Millisecond
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
	started                 bool
	late                    bool
}

func (f *simulation) run() outcome {
	f.prepare()
	next := f.interarrival()
	for tick := time.Duration(0); tick < f.duration; tick += simTick {
		f.snapshot()
		f.retryRefused(tick)
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
	f.random = rand.New(rand.NewPCG(1, 2))
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
			target := &placement.Target{Key: string(rune('a' + g)), Zone: "z", Slots: slots, Meter: rhythm.NewMeter()}
			if f.knownPrefill {
				target.Pass = simStride * simChunk
			}
			view = append(view, target)
		}
		f.views = append(f.views, view)
	}
}

func (f *simulation) interarrival() time.Duration {
	return time.Duration(f.random.ExpFloat64() / f.rate * float64(time.Second))
}

// snapshot records the requests in progress of each daemon, for later publication.
func (f *simulation) snapshot() {
	f.reported = append(f.reported, clone2D(f.inFlight))
	f.reportedPrefilling = append(f.reportedPrefilling, clone2D(f.prefilling))
}

func clone2D(rows [][]int) [][]int {
	snapshot := make([][]int, len(rows))
	for i, row := range rows {
		snapshot[i] = slices.Clone(row)
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
		others, prefilling := 0, 0
		for d := range f.reported[tick] {
			if d != daemon {
				others += f.reported[tick][d][g]
				prefilling += f.reportedPrefilling[tick][d][g]
			}
		}
		target.Meter.SetElsewhere(others)
		target.Meter.SetReadingElsewhere(prefilling)
	}
}

func (f *simulation) arrive() {
	f.result.arrived++
	value := 1 + float64(f.random.IntN(2))
	f.result.offeredValue += value
	if f.place(f.now, value, false) {
		return
	}
	if f.retryDelay == nil {
		f.result.refused++
		return
	}
	f.retries = append(f.retries, retry{arrivedAt: f.now, retryAt: f.now + f.retryDelay(simCallerTimeout, f.random.Float64()), value: value})
}

// retryRefused places the requests whose retry is due.
func (f *simulation) retryRefused(tick time.Duration) {
	f.retries = slices.DeleteFunc(f.retries, func(r retry) bool {
		if r.retryAt > tick {
			return false
		}
		f.now = max(f.now, tick)
		if !f.place(r.arrivedAt, r.value, true) {
			f.result.refused++
		}
		return true
	})
}

// place reports whether a group took a request.
func (f *simulation) place(arrivedAt time.Duration, value float64, late bool) bool {
	daemon := f.random.IntN(f.daemons)
	f.updateView(daemon)
	prompt := f.promptTokens * (0.5 + f.random.Float64())
	target := f.choose(f.openTargets(daemon), placement.Demand{
		Zone: "z", Grouped: true, Late: late, Prompt: int(prompt), Daemons: f.daemons, Delay: f.publishInterval + f.deliveryDelay, Random: f.random.Float64(),
		Now: time.Unix(0, 0).Add(f.now),
	})
	if target == nil {
		return false
	}
	r := &simRequest{
		daemon: daemon, group: int(target.Key[0] - 'a'), arrivedAt: arrivedAt, promptTokens: int(prompt),
		prefillLeft: prompt, decodeLeft: f.answerTokens * (0.5 + f.random.Float64()), value: value,
	}
	target.Meter.Begin(time.Unix(0, 0).Add(f.now))
	target.Meter.BeginReading(r.promptTokens)
	f.inFlight[daemon][r.group]++
	f.prefilling[daemon][r.group] += r.promptTokens
	group := f.engines[r.group]
	group.waiting = append(group.waiting, r)
	if f.highValueFirst {
		slices.SortStableFunc(group.waiting, func(a, b *simRequest) int { return cmp.Compare(b.value, a.value) })
	}
	if group.ends == 0 {
		f.beginPass(group)
	}
	return true
}

// openTargets returns the targets of a daemon that are not failed at f.now.
func (f *simulation) openTargets(daemon int) []*placement.Target {
	if f.failurePeriod == 0 || f.now%f.failurePeriod < f.failurePeriod/2 {
		return f.views[daemon]
	}
	return slices.DeleteFunc(slices.Clone(f.views[daemon]), func(t *placement.Target) bool {
		return slices.Contains(f.failing, int(t.Key[0]-'a'))
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
	decoding, prefilled, budget := 0, 0.0, float64(simStride*simChunk)
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
	step := float64(simStepTime) + float64(decoding)*float64(simDecodeTime)
	prefillTime := prefilled / simPrefillRate * float64(time.Millisecond)
	g.begins = f.now
	g.ends = f.now + time.Duration(cmp.Or(f.timeScale, simTimeScale)*(simStride*step+prefillTime))
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
	r.decodeLeft -= simStride
	if r.started {
		return
	}
	r.started = true
	r.late = f.now-r.arrivedAt > cmp.Or(f.objective, simObjective)
	f.views[r.daemon][r.group].Meter.EndReading(r.promptTokens)
	f.prefilling[r.daemon][r.group] -= r.promptTokens
	if f.maxPause == 0 {
		f.record(r)
	}
}

func (f *simulation) finish(r *simRequest) {
	f.inFlight[r.daemon][r.group]--
	f.views[r.daemon][r.group].Meter.End()
	if f.maxPause > 0 {
		f.record(r)
	}
}

// record counts the result of a request. With unlimited pauses it is called at the
// first event, otherwise at the end.
func (f *simulation) record(r *simRequest) {
	if r.late {
		f.result.late++
		f.result.earnedValue += simLateValueShare * r.value
		return
	}
	f.result.inTime++
	f.result.earnedValue += r.value
}
