package test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// metricValue returns the value of one metric of a daemon.
func metricValue(d *testbed.Daemon, name string) int {
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(d.Metrics())
	Expect(match).NotTo(BeNil(), name)
	value, err := strconv.Atoi(match[1])
	Expect(err).NotTo(HaveOccurred())
	return value
}

// sendCompletions sends requests, at most atOnce concurrently, and returns the
// replies in the order of the bodies.
func sendCompletions(d *testbed.Daemon, bodies []string, atOnce int) []reply {
	replies := make([]reply, len(bodies))
	slots := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, body := range bodies {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			defer GinkgoRecover()
			replies[i] = sendCompletion(d, body)
		})
	}
	all.Wait()
	return replies
}

func completionBodies(name string, count, tokens int) []string {
	bodies := make([]string, count)
	for i := range bodies {
		bodies[i] = completionBody(fmt.Sprintf("%s %d", name, i), tokens, i%2 == 0)
	}
	return bodies
}

var _ = Describe("A retry", func() {
	It("adds at most a tenth to the necessary load when a third of the endpoints fail", func() {
		bed := newRequestBed(6, fakes.EngineOptions{}, nil)
		groups := bed.daemon.CompleteGroups(testbed.SampleModel)
		for _, g := range groups[:2] {
			bed.Engines[g.Leader()].SetStreamFaults(fakes.StreamFaults{Status: 500})
		}
		bodies := completionBodies("third", 300, 3)
		for i, got := range sendCompletions(bed.daemon, bodies, 8) {
			expectCompleteAnswer(got, bodies[i], 3)
		}
		attempts := metricValue(bed.daemon, "plantainmux_attempts_total")
		calls := bed.count(fakes.EventStart, "") + bed.count(fakes.EventRejected, "")
		failures := bed.count(fakes.EventRejected, "")
		GinkgoWriter.Printf("requests %d attempts %d calls %d failures %d\n", len(bodies), attempts, calls, failures)
		Expect(failures).To(BeNumerically(">", 0))
		Expect(float64(calls-failures) / float64(len(bodies))).To(BeNumerically("<=", 1.1))
		// If each attempt fails with probability 1/3, a request needs 1.5 attempts on
		// average.
		Expect(float64(attempts) / float64(len(bodies))).To(BeNumerically("<=", 1.5*1.1))
	})

	It("is limited by the retry budget when every endpoint fails", func() {
		bed := newRequestBed(3, fakes.EngineOptions{}, nil)
		bed.eachEngine(func(e *testbed.Engine) { e.SetStreamFaults(fakes.StreamFaults{Refuse: endpoint.CodeQueueFull}) })
		bodies := completionBodies("all", 200, 3)
		for _, got := range sendCompletions(bed.daemon, bodies, 4) {
			Expect(got.outcome).To(Equal(string(refusal.NotRun)))
			Expect(got.retryAfter).NotTo(BeEmpty())
		}
		retries := metricValue(bed.daemon, "plantainmux_attempts_total") - len(bodies)
		Expect(retries).To(BeNumerically("<=", 50))
		Expect(metricValue(bed.daemon, `plantainmux_retries_denied_total{reason="budget"}`)).To(BeNumerically(">", 0))
	})

	It("ends as not run only if no engine started the request", func() {
		bed := newRequestBed(4, fakes.EngineOptions{TokenDelay: time.Millisecond}, nil)
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 5))
		engines := make([]*testbed.Engine, 0, len(bed.Engines))
		for _, g := range bed.daemon.CompleteGroups(testbed.SampleModel) {
			engines = append(engines, bed.Engines[g.Leader()])
		}
		kinds := []fakes.StreamFaults{
			{Refuse: endpoint.CodeQueueFull},
			{Refuse: endpoint.CodeWrongGroup},
			{Refuse: "made_up"},
			{Status: 500},
			{CutBefore: -1, RefuseResume: endpoint.CodeQueueFull},
			{CutBefore: -1, RefuseResume: endpoint.CodeWrongGroup},
			{CutBefore: -1, Forget: true},
			{CutBefore: 2, Forget: true},
			{CutEach: true},
			{},
		}
		outcomes := map[string]int{}
		for round := range 12 {
			for _, engine := range engines {
				engine.SetStreamFaults(kinds[random.IntN(len(kinds))])
				engine.Set(fakes.Faults{LoseAnswers: random.IntN(6) == 0})
			}
			bodies := completionBodies(fmt.Sprintf("round %d", round), 24, 4)
			for i, got := range sendCompletions(bed.daemon, bodies, 6) {
				outcomes[got.outcome]++
				switch refusal.Outcome(got.outcome) {
				case refusal.Done:
					expectCompleteAnswer(got, bodies[i], 4)
				case refusal.NotRun:
					Expect(bed.count(fakes.EventStart, bodies[i])).To(BeZero(), bodies[i])
				case refusal.Unknown:
					Expect(got.complete).To(BeFalse())
				default:
					Fail("a reply without a known outcome: " + got.outcome)
				}
			}
		}
		GinkgoWriter.Println(outcomes)
		Expect(outcomes[string(refusal.NotRun)]).To(BeNumerically(">", 0))
		Expect(outcomes[string(refusal.Done)]).To(BeNumerically(">", 0))
	})
})

var _ = Describe("A request that crashes engines", func() {
	runWithCrash := func(daemons ...fleet.DataCentre) {
		bed := newTwoDataCentreBed(3, 0, fakes.EngineOptions{TokenDelay: 10 * time.Millisecond, CrashOn: crashText}, daemons...)
		harmless := make([]string, 45)
		for i := range harmless {
			harmless[i] = completionBody(fmt.Sprintf("neighbour %d", i), 20, false)
		}
		replies := make([]reply, len(harmless))
		var all sync.WaitGroup
		for i, body := range harmless {
			all.Go(func() {
				defer GinkgoRecover()
				replies[i] = sendCompletion(bed.Daemons[i%len(daemons)], body)
			})
		}
		Eventually(func() int { return bed.count(fakes.EventStart, "") }, completeTimeout, pollInterval).Should(BeNumerically(">=", 40))
		crashing := completionBody(crashText, 5, false)
		first := sendCompletion(bed.daemon, crashing)
		Expect(first.reason).To(Equal(string(refusal.CrashSuspect)))
		Expect(first.outcome).To(Equal(string(refusal.Unknown)))
		all.Wait()
		for i, got := range replies {
			expectCompleteAnswer(got, harmless[i], 20)
		}
		for range 10 {
			again := sendCompletion(bed.daemon, crashing)
			Expect(again.reason).To(Equal(string(refusal.CrashSuspect)))
			Expect(again.status).To(Equal(422))
			Expect(again.outcome).To(Equal(string(refusal.NotRun)))
		}
		Expect(bed.count(fakes.EventCrash, crashing)).To(Equal(2))
	}

	It("crashes at most two endpoints, and the concurrent requests are answered", func() { runWithCrash("north") })

	It("crashes at most two endpoints, and the concurrent requests of another daemon are answered too", func() { runWithCrash("north", "north") })
})
