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
	scheduleSeed    = 7 // used if SCHEDULE_SEED is not set
	scheduleOrders  = 400
	scheduleDaemons = 4
	maxCallers      = 4 // concurrent callers of one key
)

// history holds the results that the callers of one key received.
type history struct {
	mu      sync.Mutex
	results []order.Result
}

func (h *history) add(result order.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, result)
}

// check compares the results of a key with the number of runs that the service
// counted.
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

// schedule injects faults into the daemons, the log and the service in a
// pseudo-random sequence.
type schedule struct {
	fixture  *fixture
	random   *rand.Rand
	mu       sync.Mutex
	daemons  []*daemon
	replaced int
}

// pick returns a random daemon.
func (s *schedule) pick(random *rand.Rand) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[random.IntN(len(s.daemons))]
}

// replace kills a daemon when it next reaches the given step, or after 100 ms, and
// starts another in its place.
func (s *schedule) replace(index int, step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.daemons[index]
	old.onStep(func(at string) {
		if at == step {
			old.kill()
		}
	})
	time.AfterFunc(100*time.Millisecond, old.kill)
	s.replaced++
	s.daemons[index] = s.fixture.startDaemon(fleet.DaemonID(fmt.Sprintf("later-%d", s.replaced)))
}

func (s *schedule) injectFault() {
	steps := []string{beforeClaim, afterClaim, beforeDispatch, afterDispatch, beforeOutcome, afterOutcome}
	index := s.random.IntN(scheduleDaemons)
	d := s.daemons[index]
	pause := time.Duration(s.random.IntN(300)) * time.Millisecond
	switch s.random.IntN(13) {
	case 0, 1:
		s.replace(index, steps[s.random.IntN(len(steps))])
	case 2:
		s.fixture.log.Set(fakes.Faults{LoseAnswers: true})
	case 3:
		s.fixture.log.Set(fakes.Faults{Down: true})
	case 4:
		s.fixture.service.Set(fakes.Faults{LoseAnswers: true})
	case 5:
		d.isolated.Store(true) // it considers itself the only daemon
	case 6:
		d.losesAnswers.Store(true)
	case 7:
		d.readsFail.Store(true)
	case 8:
		s.fixture.log.Set(fakes.Faults{DelayMS: 200})
	case 9:
		s.fixture.service.Set(fakes.Faults{Frozen: true})
	case 10:
		d.appendsFail.Store(true)
	case 11:
		d.clock.Store(int64(time.Duration(s.random.IntN(240)-120) * time.Second)) // not reset until the daemon is replaced
	case 12:
		defer d.pauseAt(steps[s.random.IntN(len(steps))])()
	}
	time.Sleep(pause)
	s.fixture.log.Set(fakes.Faults{})
	s.fixture.service.Set(fakes.Faults{})
	for _, d := range s.daemons {
		d.isolated.Store(false)
		d.losesAnswers.Store(false)
		d.readsFail.Store(false)
		d.appendsFail.Store(false)
	}
}

// pauseAt blocks a daemon whenever it reaches a step, until resume is called.
func (d *daemon) pauseAt(step string) (resume func()) {
	resumed := make(chan struct{})
	d.onStep(func(at string) {
		if at == step {
			<-resumed
		}
	})
	return func() {
		d.onStep(nil)
		close(resumed)
	}
}

var _ = Describe("A random schedule of faults", func() {
	It("never runs an order twice and never runs an order whose requests were all refused as not run", func() {
		seed := seedFromEnv(scheduleSeed)
		GinkgoWriter.Printf("seed %d\n", seed)
		f := newFixture()
		f.snapshotEvery = 64
		s := &schedule{fixture: f, random: rand.New(rand.NewPCG(seed, 0)), daemons: f.startDaemons(scheduleDaemons)}
		histories := make([]history, scheduleOrders)
		var placing sync.WaitGroup
		stop := make(chan struct{})
		var injecting sync.WaitGroup
		injecting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.injectFault()
				}
			}
		})
		for i := range scheduleOrders {
			key := fmt.Sprintf("s-%d", i)
			for caller := range 1 + s.callers(i) {
				random := rand.New(rand.NewPCG(seed, uint64(1+i*maxCallers+caller)))
				placing.Go(func() { s.placeRepeatedly(key, random, &histories[i]) })
			}
			time.Sleep(15 * time.Millisecond)
		}
		placing.Wait()
		close(stop)
		injecting.Wait()
		ran := 0
		for i := range histories {
			key := fmt.Sprintf("s-%d", i)
			histories[i].check(key, f.service.RunsOf(key))
			ran += f.service.RunsOf(key)
		}
		Expect(ran).To(BeNumerically(">", scheduleOrders/2))
		GinkgoWriter.Printf("%d of %d orders ran, %d daemons were replaced\n", ran, scheduleOrders, s.replaced)
	})
})

// seedFromEnv returns the seed set in SCHEDULE_SEED, or the fallback.
func seedFromEnv(fallback uint64) uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SCHEDULE_SEED"), 10, 64); err == nil {
		return seed
	}
	return fallback
}

func (s *schedule) callers(i int) int { return i % maxCallers }

// placeRepeatedly sends an order to random daemons until its result is final, at
// most six times.
func (s *schedule) placeRepeatedly(key string, random *rand.Rand, received *history) {
	for range 6 {
		d := s.pick(random)
		o := s.fixture.order(key)
		o.Timeout = 2 * time.Second
		o.DeadlineMillis = d.now().Add(o.Timeout).UnixMilli()
		result := d.place(o)
		received.add(result)
		if result.Refusal == nil || result.Refusal.Reason == refusal.OrderUnsettled {
			return
		}
	}
}
