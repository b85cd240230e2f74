package route_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/route"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Parameters of the simulation in virtual time. Each engine processes prompts one
// after another and generates tokens for its requests as a batch.
const (
	traceDaemons     = 3
	traceGroups      = 8
	traceBatch       = 16
	traceCacheBlocks = 500
	traceTemplates   = 10
	traceRequests    = 12_000
	traceGap         = 26 * time.Millisecond  // mean time between two arrivals
	traceRead        = 8 * time.Millisecond   // time to process one block that is not cached
	traceToken       = 20 * time.Millisecond  // interval between two tokens
	traceReport      = 500 * time.Millisecond // interval between two load reports
)

// traceOptions is the information about caches that the daemons may use in a run.
type traceOptions struct {
	name   string
	own    bool          // daemons assume that the prompts of their own requests are cached
	events bool          // daemons receive cache events
	lag    time.Duration // delay until an engine publishes a cache event
	gaps   float64       // share of the answers that lose the older half of their events
}

// simEvent is a simulated event, run at a virtual time.
type simEvent struct {
	at time.Time
	do func()
}

type eventQueue []simEvent

func (m eventQueue) Len() int           { return len(m) }
func (m eventQueue) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m eventQueue) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)        { *m = append(*m, x.(simEvent)) }
func (m *eventQueue) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

type traceEngine struct {
	cache     *fakes.PromptCache
	busyUntil time.Time // when it will have processed all prompts received so far
	inFlight  int
}

type traceRun struct {
	traceOptions
	random, faults *rand.Rand
	now            time.Time
	due            eventQueue
	engines        []*traceEngine
	daemons        [][]*view.Serving
	reported       time.Time
	conversations  [][]uint64 // prompts of conversations that may be continued
	blocks, hits   int
	gaps           int
	first          []time.Duration
}

func newTraceRun(k traceOptions, seed uint64) *traceRun {
	r := &traceRun{traceOptions: k, now: now, random: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2))}
	for range traceGroups {
		r.engines = append(r.engines, &traceEngine{cache: fakes.NewPromptCache(traceCacheBlocks)})
	}
	for range traceDaemons {
		groups := make([]*view.Serving, traceGroups)
		for i := range groups {
			groups[i] = &view.Serving{Group: fleet.Group{Fencing: fleet.FencingNumber(i + 1)}, Capacity: traceBatch, Load: &view.Load{}}
		}
		r.daemons = append(r.daemons, groups)
	}
	return r
}

func (r *traceRun) after(d time.Duration, do func()) {
	heap.Push(&r.due, simEvent{at: r.now.Add(d), do: do})
}

func (r *traceRun) run() {
	r.report()
	r.arrive(traceRequests)
	for len(r.first) < traceRequests {
		next := heap.Pop(&r.due).(simEvent)
		r.now = next.at
		next.do()
	}
	slices.Sort(r.first)
}

func (r *traceRun) report() {
	for _, groups := range r.daemons {
		for i, g := range groups {
			g.Running = r.engines[i].inFlight
		}
	}
	r.reported = r.now
	r.after(traceReport, r.report)
}

func (r *traceRun) arrive(left int) {
	r.send(r.random.IntN(traceDaemons), r.prompt(), 20+r.random.IntN(120))
	if left > 1 {
		r.after(time.Duration(r.random.ExpFloat64()*float64(traceGap)), func() { r.arrive(left - 1) })
	}
}

// prompt starts a conversation from a template, or extends an existing one by two
// blocks.
func (r *traceRun) prompt() []uint64 {
	var blocks []uint64
	if len(r.conversations) > 0 && r.random.IntN(2) == 0 {
		blocks = r.conversations[len(r.conversations)-1-r.random.IntN(min(len(r.conversations), 200))]
	} else {
		template := uint64(traceTemplates * r.random.Float64() * r.random.Float64())
		for i := range 4 + template%12 {
			blocks = append(blocks, template<<8|i)
		}
	}
	blocks = append(slices.Clone(blocks), r.random.Uint64()|1<<40, r.random.Uint64()|1<<40)
	if len(blocks) < 30 {
		r.conversations = append(r.conversations, blocks)
	}
	return blocks
}

func (r *traceRun) send(daemon int, blocks []uint64, tokens int) {
	scored := route.Score(r.daemons[daemon], r.reported, r.now)
	if r.own || r.events {
		route.SetCachedBlocks(scored, blocks, r.now)
	}
	group, _ := route.PickBest(scored, blocks[0]+1)
	engine := r.engines[group.Fencing-1]
	hits := engine.cache.Read(blocks, r.now)
	r.blocks, r.hits = r.blocks+len(blocks), r.hits+hits
	engine.inFlight++
	group.Load.Begin()
	after := group.Load.Prompts.Applied()
	if engine.busyUntil.Before(r.now) {
		engine.busyUntil = r.now
	}
	engine.busyUntil = engine.busyUntil.Add(time.Duration(len(blocks)-hits) * traceRead)
	wait := engine.busyUntil.Sub(r.now) + traceToken
	r.after(wait, func() { r.answer(group, engine, after, blocks) })
	r.first = append(r.first, wait)
	r.after(wait+time.Duration(tokens)*traceToken, func() {
		engine.inFlight--
		group.Load.End()
	})
}

func (r *traceRun) answer(group *view.Serving, engine *traceEngine, after uint64, blocks []uint64) {
	if !r.own && !r.events {
		return
	}
	events := engine.cache.Published(after, r.now.Add(-r.lag))
	if r.faults.Float64() < r.traceOptions.gaps {
		lost := len(events.Events) / 2
		events.First, events.Events = events.First+uint64(lost), events.Events[lost:]
	}
	if !r.events {
		events = nil
	}
	if group.Load.Prompts.Learn(blocks, events, r.now) {
		r.gaps++
	}
}

func (r *traceRun) hitRate() float64 { return float64(r.hits) / float64(r.blocks) }

var _ = Describe("Routing by cache events", func() {
	It("has a higher hit rate and a lower p95 latency than without, also with late events and gaps", func() {
		runs := map[string]*traceRun{}
		for _, k := range []traceOptions{
			{name: "home only"},
			{name: "own requests", own: true},
			{name: "events", events: true, lag: 500 * time.Millisecond},
			{name: "late", events: true, lag: 10 * time.Second},
			{name: "gaps", events: true, lag: 500 * time.Millisecond, gaps: 0.3},
		} {
			r := newTraceRun(k, 1)
			r.run()
			runs[k.name] = r
			GinkgoWriter.Printf("%-14s hit rate %.3f, first token p50 %s p95 %s, gaps %d\n", k.name, r.hitRate(),
				r.first[len(r.first)/2].Round(time.Millisecond), r.first[len(r.first)*95/100].Round(time.Millisecond), r.gaps)
		}
		without := runs["home only"]
		for name, r := range runs {
			if name != without.name {
				Expect(r.hitRate()).To(BeNumerically(">", without.hitRate()), name)
				Expect(r.first[len(r.first)*95/100]).To(BeNumerically("<", without.first[len(without.first)*95/100]), name)
			}
		}
		Expect(runs["events"].hitRate()).To(BeNumerically(">", runs["own requests"].hitRate()))
		Expect(runs["gaps"].gaps).To(BeNumerically(">", 0))
	})
})
