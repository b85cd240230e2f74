package formation

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// silentHeadEngines answer probes and orders, but for some that are silent to orders, or to both.
type silentHeadEngines struct {
	mu     sync.Mutex
	silent map[string]bool
	dark   map[string]bool
	orders []Order // that were answered
}

func (e *silentHeadEngines) Order(_ context.Context, order Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent[order.To.ID] || e.dark[order.To.ID] {
		return context.DeadlineExceeded
	}
	e.orders = append(e.orders, order)
	return nil
}

func (e *silentHeadEngines) Report(_ context.Context, to ledger.Member) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dark[to.ID] {
		return Report{}, context.DeadlineExceeded
	}
	return Report{Incarnation: to.Incarnation}, nil
}

var _ = ginkgo.DescribeTable("A former head without an entry that leaves orders unanswered", func(head silentHead, want headAction) {
	head.stall = 6 * time.Second
	Expect(head.next()).To(Equal(want))
},
	ginkgo.Entry("once", silentHead{unanswered: 1, companion: true}, awaitHead),
	ginkgo.Entry("once, and answers probes", silentHead{unanswered: 1, answered: true, companion: true}, awaitHead),
	ginkgo.Entry("twice, and no probe, and a member answers", silentHead{unanswered: 2, companion: true}, releaseHead),
	ginkgo.Entry("twice, and answers probes", silentHead{unanswered: 2, answered: true, companion: true}, vacateHead),
	ginkgo.Entry("often, and answers probes, as no member does", silentHead{unanswered: 9, answered: true}, awaitHead),
	ginkgo.Entry("often, and no member answers: the whole group may serve", silentHead{unanswered: 9}, awaitHead),
	ginkgo.Entry("a member has left, and the head may not have broken yet", silentHead{unanswered: 9, answered: true, companion: true, vacated: true, vacatedFor: 6499 * time.Millisecond}, awaitHead),
	ginkgo.Entry("a member has left for long enough", silentHead{unanswered: 9, answered: true, vacated: true, vacatedFor: 6500 * time.Millisecond}, releaseHead),
)

var _ = ginkgo.Describe("A former head that may serve, out of touch with the store and the planner", func() {
	const stall = 100 * time.Millisecond
	head := ledger.Member{ID: "head", Incarnation: 1}
	former := ledger.FormerGroup{Group: "g", Epoch: 3, Head: head}
	var engines *silentHeadEngines
	var endpoints *registry.Snapshot
	member := func(id, group string) *registry.Endpoint {
		e := &registry.Endpoint{ID: id, Incarnation: 1, Domain: "d"}
		if group != "" {
			e.Group = registry.Membership{Group: group, Epoch: 3, State: registry.Ready}
		}
		return e
	}
	newPlanner := func() *Reconciler {
		return NewReconciler(Dependencies{
			Engines: engines, Endpoints: func() *registry.Snapshot { return endpoints }, HeadStall: stall, Ledger: ledger.New(nil, slog.New(slog.DiscardHandler), func() {}), Logger: slog.New(slog.DiscardHandler),
		})
	}
	leave := func(r *Reconciler) bool {
		order := Order{To: head, Operation: Leave, Group: "g", Epoch: 3}
		r.recordOutcome(context.Background(), order, engines.Order(context.Background(), order))
		return r.observations.health().Released[FormerKey(former)]
	}
	ginkgo.BeforeEach(func() {
		engines = &silentHeadEngines{silent: map[string]bool{"head": true}, dark: map[string]bool{}}
		endpoints = &registry.Snapshot{ByID: map[string]*registry.Endpoint{"a": member("a", "g"), "b": member("b", "g")}}
	})

	// Guards against members that join another group while the head of theirs is open.
	ginkgo.It("keeps its members until one has left it and it has broken, however often it is silent", func() {
		r := newPlanner()
		Expect(leave(r)).To(BeFalse())
		Expect(engines.orders).To(BeEmpty())
		Expect(leave(r)).To(BeFalse())
		Expect(engines.orders).To(HaveLen(1))
		left := engines.orders[0]
		Expect([]any{left.Operation, left.Group, left.Epoch}).To(Equal([]any{Leave, "g", uint64(3)}))
		delete(endpoints.ByID, left.To.ID)
		endpoints.ByID[left.To.ID] = member(left.To.ID, "")
		for range 5 {
			Expect(leave(r)).To(BeFalse())
		}
		Expect(engines.orders).To(HaveLen(1), "the head stands still without one member")
		time.Sleep(stall + headStallMargin)
		Expect(leave(r)).To(BeTrue())
	})

	ginkgo.It("is released with the second unanswered order if it answers no probe while a member does", func() {
		engines.dark["head"] = true
		r := newPlanner()
		Expect(leave(r)).To(BeFalse())
		Expect(leave(r)).To(BeTrue())
		Expect(engines.orders).To(BeEmpty())
	})

	ginkgo.DescribeTable("keeps them as long as no member answers, or the one that is told to leave does not", func(dark bool) {
		engines.dark["a"], engines.dark["b"] = dark, dark
		engines.silent["a"], engines.silent["b"] = true, true
		r := newPlanner()
		for range 5 {
			Expect(leave(r)).To(BeFalse())
		}
		time.Sleep(stall + headStallMargin)
		Expect(leave(r)).To(BeFalse())
	},
		ginkgo.Entry("no member answers", true),
		ginkgo.Entry("none leaves", false),
	)
})
