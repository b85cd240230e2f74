package order_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	scheduleSeed   = 7 // used when SCHEDULE_SEED does not name another
	scheduleOrders = 400
	scheduleNodes  = 4
	maxCallers     = 4 // callers of one key, at the same time
)

// history is what the callers of one key were told.
type history struct {
	mu      sync.Mutex
	results []order.Result
}

func (h *history) add(result order.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, result)
}

// check compares what was told of a key with the service's own count.
func (h *history) check(key string, runs int) {
	GinkgoHelper()
	Expect(runs).To(BeNumerically("<=", 1), key)
	notRun := 0
	var first *order.Result
	for i, result := range h.results {
		switch {
		case result.Refusal == nil && first == nil:
			first = &h.results[i]
		case result.Refusal == nil:
			Expect(result.Answer).To(Equal(first.Answer), key)
		case result.Refusal.Outcome == refusal.NotRun:
			notRun++
		}
	}
	if first != nil {
		Expect(runs).To(Equal(1), key)
	}
	if notRun == len(h.results) {
		Expect(runs).To(BeZero(), "%s was refused as not run each time", key)
	}
}

// schedule strikes nodes and the platform in a sequence given by its seed.
type schedule struct {
	bed    *bed
	random *rand.Rand
	mu     sync.Mutex
	nodes  []*node
	born   int
}

// pick returns the node that a caller draws.
func (s *schedule) pick(random *rand.Rand) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[random.IntN(len(s.nodes))]
}

// replace kills a node, at once or at its next time at a step, and starts
// another.
func (s *schedule) replace(index int, step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.nodes[index]
	old.onStep(func(at string) {
		if at == step {
			old.kill()
		}
	})
	time.AfterFunc(100*time.Millisecond, old.kill)
	s.born++
	s.nodes[index] = s.bed.startNode(fleet.DaemonID(fmt.Sprintf("later-%d", s.born)))
}

func (s *schedule) strikeOnce() {
	steps := []string{beforeClaim, afterClaim, beforeDispatch, afterDispatch, beforeOutcome, afterOutcome}
	index := s.random.IntN(scheduleNodes)
	n := s.nodes[index]
	pause := time.Duration(s.random.IntN(300)) * time.Millisecond
	switch s.random.IntN(13) {
	case 0, 1:
		s.replace(index, steps[s.random.IntN(len(steps))])
	case 2:
		s.bed.log.Set(fakes.Faults{LoseAnswers: true})
	case 3:
		s.bed.log.Set(fakes.Faults{Down: true})
	case 4:
		s.bed.service.Set(fakes.Faults{LoseAnswers: true})
	case 5:
		n.alone.Store(true) // it holds itself for the only daemon
	case 6:
		n.losesAnswers.Store(true)
	case 7:
		n.readsCut.Store(true)
	case 8:
		s.bed.log.Set(fakes.Faults{DelayMS: 200})
	case 9:
		s.bed.service.Set(fakes.Faults{Frozen: true})
	case 10:
		n.appendsCut.Store(true)
	case 11:
		n.clock.Store(int64(time.Duration(s.random.IntN(240)-120) * time.Second)) // for the rest of its life
	case 12:
		defer n.freezeAt(steps[s.random.IntN(len(steps))])()
	}
	time.Sleep(pause)
	s.bed.log.Set(fakes.Faults{})
	s.bed.service.Set(fakes.Faults{})
	for _, n := range s.nodes {
		n.alone.Store(false)
		n.losesAnswers.Store(false)
		n.readsCut.Store(false)
		n.appendsCut.Store(false)
	}
}

// freezeAt holds a node back whenever it reaches a step, until thaw is called.
func (n *node) freezeAt(step string) (thaw func()) {
	thawed := make(chan struct{})
	n.onStep(func(at string) {
		if at == step {
			<-thawed
		}
	})
	return func() {
		n.onStep(nil)
		close(thawed)
	}
}

var _ = Describe("A schedule of failures", func() {
	It("never runs an order twice, nor one that was always refused as not run", func() {
		seed := seedOf(scheduleSeed)
		GinkgoWriter.Printf("seed %d\n", seed)
		b := newBed()
		b.snapshotEvery = 64
		s := &schedule{bed: b, random: rand.New(rand.NewPCG(seed, 0)), nodes: b.startNodes(scheduleNodes)}
		told := make([]history, scheduleOrders)
		var placing sync.WaitGroup
		stop := make(chan struct{})
		var striking sync.WaitGroup
		striking.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.strikeOnce()
				}
			}
		})
		for i := range scheduleOrders {
			key := fmt.Sprintf("s-%d", i)
			for caller := range 1 + s.callers(i) {
				random := rand.New(rand.NewPCG(seed, uint64(1+i*maxCallers+caller)))
				placing.Go(func() { s.persist(key, random, &told[i]) })
			}
			time.Sleep(15 * time.Millisecond)
		}
		placing.Wait()
		close(stop)
		striking.Wait()
		ran := 0
		for i := range told {
			key := fmt.Sprintf("s-%d", i)
			told[i].check(key, b.service.RunsOf(key))
			ran += b.service.RunsOf(key)
		}
		Expect(ran).To(BeNumerically(">", scheduleOrders/2))
		GinkgoWriter.Printf("%d of %d orders ran, %d nodes were replaced\n", ran, scheduleOrders, s.born)
	})
})

// seedOf returns the seed that the environment names, or the usual one.
func seedOf(usual uint64) uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SCHEDULE_SEED"), 10, 64); err == nil {
		return seed
	}
	return usual
}

func (s *schedule) callers(i int) int { return i % maxCallers }

// persist sends an order again, to any node, until its answer is final or its
// patience ends.
func (s *schedule) persist(key string, random *rand.Rand, told *history) {
	for range 6 {
		n := s.pick(random)
		o := s.bed.order(key)
		o.Timeout = 2 * time.Second
		o.DeadlineMillis = n.now().Add(o.Timeout).UnixMilli()
		result := n.place(o)
		told.add(result)
		if result.Refusal == nil || result.Refusal.Reason == refusal.OrderUnsettled {
			return
		}
	}
}
