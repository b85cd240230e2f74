package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/evacuation"
	gofleet "github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

// testDaemon is one daemon of a fleet. It starts with one request in progress at target 1.
type testDaemon struct {
	*gossip.Gossip
	name, dataCentre      string
	count                 atomic.Int64
	sendsSuspicion        atomic.Bool
	cutOff                atomic.Bool // says that it is cut off from the endpoints
	suspicionReceived     atomic.Bool // a suspicion from another daemon
	failedRequestReceived atomic.Bool // a failed request from another daemon
	suspects              *suspect.Table
	evacuations           *evacuation.Set
	stop                  func()
}

func startDaemon(name, dataCentre string) *testDaemon {
	t := &testDaemon{name: name, dataCentre: dataCentre, suspects: suspect.NewTable(suspect.Policy{}), evacuations: evacuation.NewSet("out/")}
	t.count.Store(1)
	var err error
	t.Gossip, err = gossip.New(gossip.Dependencies{
		Node: name, DataCentre: dataCentre, Address: freeAddress(), Incarnation: 1, Logger: slog.New(slog.DiscardHandler),
		LocalMessage: t.message,
		OnMessage: func(message gossip.Message) {
			t.suspects.Merge(message.Suspects, time.Now())
			if message.Node == "" { // a digest: direct datagrams would hide what hubs drop
				t.evacuations.Merge(message.Evacuations, time.Now())
			}
			if len(message.Suspicions) > 0 {
				t.suspicionReceived.Store(true)
			}
			if slices.Contains(message.FailedRequests, 17) {
				t.failedRequestReceived.Store(true)
			}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.Run(ctx)
	}()
	t.stop = func() {
		cancel()
		<-done
	}
	return t
}

func (t *testDaemon) message() gossip.Message {
	message := gossip.Message{
		Store: true, CutOff: t.cutOff.Load(), Demand: []demand.Report{{Key: 5, RequestsPerS: 3, PromptTokensPerS: 10}},
		Loads: map[uint32]gossip.Load{1: {Count: int(t.count.Load()), AgeMS: 5, PrefillTokens: 100}}, Suspects: t.suspects.Reports(time.Now()), Evacuations: t.evacuations.Reports(time.Now()),
	}
	if t.sendsSuspicion.Load() {
		message.Suspicions = []gossip.Suspicion{{Group: "g", Epoch: 1}}
		message.FailedRequests = []uint32{17}
	}
	return message
}

var _ = Describe("Gossip in a fleet that uses hubs", func() {
	const perDataCentre = 9
	var fleet []*testDaemon
	load := func(t *testDaemon) int { return t.Loads(time.Now())[1].Count }
	loads := func() []int {
		var seen []int
		for _, t := range fleet {
			seen = append(seen, load(t))
		}
		return seen
	}
	each := func(value int) []int {
		values := make([]int, len(fleet))
		for i := range values {
			values[i] = value
		}
		return values
	}

	BeforeEach(func() {
		fleet = nil
		var batch keyed.Batch
		for _, dataCentre := range []string{"x", "y", "z"} {
			for i := range perDataCentre {
				t := startDaemon(fmt.Sprint(dataCentre, i), dataCentre)
				DeferCleanup(func() { t.stop() })
				own, err := t.Registration()
				Expect(err).NotTo(HaveOccurred())
				batch.Records = append(batch.Records, own)
				fleet = append(fleet, t)
			}
		}
		for _, t := range fleet {
			t.Apply(batch)
		}
		Eventually(loads, "10s", "50ms").Should(Equal(each(3*perDataCentre - 1)))
	})

	It("sums the demand of each data centre in its digest, without counting any daemon twice", func() {
		const others = 3*perDataCentre - 1
		for _, t := range fleet {
			Eventually(func() []demand.Report { return t.Demand(time.Now()) }, "5s", "20ms").Should(
				Equal([]demand.Report{{Key: 5, RequestsPerS: 3 * others, PromptTokensPerS: 10 * others}}), t.name)
		}
		most := func() float32 {
			most := float32(0)
			for _, t := range fleet {
				for _, report := range t.Demand(time.Now()) {
					most = max(most, report.RequestsPerS)
				}
			}
			return most
		}
		Consistently(most, "2s", "20ms").Should(BeNumerically("<=", 3*others), "while hubs take over from direct messages")
		Expect(fleet[0].HearsMajority(time.Now())).To(BeTrue())
	})

	It("gives the duties of daemons that are cut off from the endpoints to others, and forwards through none of them", func() {
		last := fleet[len(fleet)-1]
		for _, t := range fleet[:perDataCentre+1] { // all of x and one of y
			t.cutOff.Store(true)
		}
		Eventually(func() []string { return last.Connected(time.Now(), false) }, "5s", "20ms").Should(HaveLen(2*perDataCentre - 1))
		Expect(last.Connected(time.Now(), false)).To(HaveEach(Not(HavePrefix("x"))))
		Eventually(func() []string { return last.Planners(time.Now(), true, false) }, "5s", "20ms").Should(HaveLen(2), "one of y and one of z")
		Expect(last.Planners(time.Now(), true, false)).NotTo(ContainElement("y0"))
		reader, _ := fleet[0].Reader(time.Now(), true)
		Expect(reader).To(HavePrefix("x"), "a daemon that is cut off reads the store for its data centre all the same")
		Eventually(func() []int {
			forwarders, cutOffHere := fleet[0].Forwarders(time.Now())
			return []int{len(forwarders), cutOffHere}
		}, "5s", "20ms").Should(Equal([]int{2*perDataCentre - 1, perDataCentre}))
		fleet[0].cutOff.Store(false)
		Eventually(func() []string { return last.Connected(time.Now(), false) }, "5s", "20ms").Should(ContainElement("x0"))
	})

	// Guards against daemons that ask one that does not dispatch, and against a dispatcher without endpoints.
	It("agrees on one dispatcher in each data centre, and on another one when it is cut off or stops", func() {
		stopped := ""
		// dispatchers returns the names that the daemons of x give, and those of them that act.
		dispatchers := func() (named, acting []string) {
			for _, t := range fleet[:perDataCentre] {
				if t.name == stopped {
					continue
				}
				name, address, acts := t.Dispatcher(time.Now(), t.cutOff.Load())
				Expect(address == "").To(Equal(name == ""))
				named = append(named, name)
				if acts {
					acting = append(acting, t.name)
				}
			}
			slices.Sort(named)
			return slices.Compact(named), acting
		}
		settled := func() string {
			named, acting := dispatchers()
			if len(named) != 1 || !slices.Equal(named, acting) {
				return ""
			}
			return named[0]
		}
		find := func(name string) *testDaemon {
			return fleet[slices.IndexFunc(fleet, func(t *testDaemon) bool { return t.name == name })]
		}
		Eventually(settled, "5s", "20ms").Should(HavePrefix("x"))
		first := settled()
		_, receivedAt := find(first).Reported(time.Now())
		Expect(receivedAt).To(HaveLen(perDataCentre - 1))
		for _, at := range receivedAt {
			Expect(time.Since(at)).To(BeNumerically("<", 400*time.Millisecond))
		}
		find(first).cutOff.Store(true)
		Eventually(settled, "5s", "20ms").Should(And(HavePrefix("x"), Not(Equal(first))))
		find(first).cutOff.Store(false)
		Eventually(settled, "5s", "20ms").Should(Equal(first))
		stopped = first
		find(first).stop()
		Eventually(settled, "5s", "20ms").Should(And(HavePrefix("x"), Not(Equal(first))))
	})

	It("lets no daemon dispatch before the others have had time to tell it their requests", func() {
		alone := startDaemon("x99", "x")
		DeferCleanup(alone.stop)
		var batch keyed.Batch
		for _, t := range fleet {
			registration, err := t.Registration()
			Expect(err).NotTo(HaveOccurred())
			batch.Records = append(batch.Records, registration)
		}
		alone.Apply(batch) // the others do not know it, so that it hears of none
		acts := func() bool {
			_, _, acting := alone.Dispatcher(time.Now(), false)
			return acting
		}
		Consistently(acts, "200ms", "10ms").Should(BeFalse())
		Eventually(acts, "5s", "20ms").Should(BeTrue())
	})

	It("counts the state of every other daemon once and follows its changes", func() {
		for _, t := range fleet {
			t.count.Store(2)
		}
		Eventually(loads, "5s", "20ms").Should(Equal(each(2 * (3*perDataCentre - 1))))
		Expect(fleet[0].Loads(time.Now())[1].PrefillTokens).To(Equal(100 * (3*perDataCentre - 1)))
		Expect(fleet[0].Live(time.Now())).To(HaveLen(3 * perDataCentre))
		fleet[3].sendsSuspicion.Store(true)
		Eventually(func() bool { return fleet[3*perDataCentre-1].suspicionReceived.Load() }, "5s", "20ms").Should(BeTrue())
		Eventually(func() bool { return fleet[3*perDataCentre-1].failedRequestReceived.Load() }, "5s", "20ms").Should(BeTrue())
		Expect(fleet[0].Delay()).To(BeNumerically("<=", 400*time.Millisecond))
	})

	It("tells each daemon of the crashes that the others saw, once each", func() {
		part := suspect.Subject{Parts: []uint64{3}}
		at := time.Now()
		for i, t := range []*testDaemon{fleet[0], fleet[perDataCentre+1], fleet[2*perDataCentre+2], fleet[1], fleet[2], fleet[perDataCentre]} {
			t.suspects.Add(suspect.Crash{Subject: part, Group: gofleet.FencingNumber(1 + i%5), At: at}, at)
		}
		refused := func() []suspect.Standing {
			var all []suspect.Standing
			for _, t := range fleet {
				all = append(all, t.suspects.Standing(part, time.Now()))
			}
			return all
		}
		Eventually(refused, "2s", "20ms").Should(HaveEach(suspect.Refused))
		known := func() []map[uint64]int {
			var all []map[uint64]int
			for _, t := range fleet {
				all = append(all, t.suspects.Review(time.Now()))
			}
			return all
		}
		Eventually(known, "2s", "20ms").Should(HaveEach(map[uint64]int{3: 5}))
		fleet[5].suspects.Clear(part, time.Now())
		Eventually(refused, "2s", "20ms").Should(HaveEach(suspect.Clear))
	})

	// Guards against evacuations that hubs drop, and against old states that return over another hub.
	It("tells each daemon of evacuations and of their withdrawal, in this order", func() {
		evacuated := func() []bool {
			var all []bool
			for _, t := range fleet {
				all = append(all, t.evacuations.Evacuated("y"))
			}
			return all
		}
		learns := func(t *testDaemon, record keyed.Record) {
			t.evacuations.Apply(keyed.Batch{Records: []keyed.Record{record}, End: record.Offset + 1}, time.Now())
		}
		learns(fleet[0], keyed.Record{Key: "out/y", Value: []byte("{}"), Offset: 3})
		Eventually(evacuated, "2s", "20ms").Should(HaveEach(true))
		learns(fleet[perDataCentre], keyed.Record{Key: "out/y", Offset: 4})
		Eventually(evacuated, "2s", "20ms").Should(HaveEach(false))
		Consistently(evacuated, "1s", "20ms").Should(HaveEach(false))
	})

	It("replaces the hubs of a data centre that fail together, and drops the failed daemons", func() {
		hubs := fleet[0].Hubs("x", time.Now())
		Expect(hubs).To(HaveLen(2))
		var left []*testDaemon
		for _, t := range fleet {
			if t.name == hubs[0] || t.name == hubs[1] {
				t.stop()
				continue
			}
			left = append(left, t)
		}
		fleet = left
		Eventually(loads, "10s", "50ms").Should(Equal(each(3*perDataCentre - 3)))
		for _, t := range fleet {
			t.count.Store(2)
		}
		Eventually(loads, "5s", "20ms").Should(Equal(each(2 * (3*perDataCentre - 3))))
		Expect(fleet[0].Hubs("x", time.Now())).NotTo(ContainElements(hubs))
	})

	It("drops the daemons of a data centre that fails", func() {
		var left []*testDaemon
		for _, t := range fleet {
			if t.dataCentre == "z" {
				t.stop()
				continue
			}
			left = append(left, t)
		}
		fleet = left
		Eventually(loads, "10s", "50ms").Should(Equal(each(2*perDataCentre - 1)))
		Eventually(func() []string { return fleet[0].Live(time.Now()) }, "10s").Should(HaveLen(2 * perDataCentre))
	})
})
