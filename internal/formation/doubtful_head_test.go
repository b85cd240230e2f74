package formation

import (
	"context"
	"log/slog"
	"sync"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// faultyEngines answer probes and orders, but for some.
type faultyEngines struct {
	mu       sync.Mutex
	silent   map[string]bool  // to orders
	dark     map[string]bool  // to orders and probes
	refusing map[string]bool  // new connections
	failing  map[string]error // results of orders
	orders   []Order          // that were answered
}

func (e *faultyEngines) Order(_ context.Context, order Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch id := order.To.ID; {
	case e.refusing[id]:
		return &GoneError{Refused: true, Err: syscall.ECONNREFUSED}
	case e.silent[id] || e.dark[id]:
		return context.DeadlineExceeded
	case e.failing[id] != nil:
		return e.failing[id]
	}
	e.orders = append(e.orders, order)
	return nil
}

func (e *faultyEngines) Report(_ context.Context, to ledger.Member) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dark[to.ID] {
		return Report{}, context.DeadlineExceeded
	}
	return Report{Incarnation: to.Incarnation}, nil // also of one that refuses new connections, on one that is open
}

// Guards against members that join another group while the head of theirs is open: neither silence nor a refused
// connection shows that the head has left.
var _ = ginkgo.Describe("A former head that cannot be told to leave", func() {
	head := ledger.Member{ID: "head", Incarnation: 1}
	former := ledger.FormerGroup{Group: "g", Epoch: 3, Head: head}
	var engines *faultyEngines
	var endpoints *registry.Snapshot
	var r *Reconciler
	member := func(id string) *registry.Endpoint {
		return &registry.Endpoint{ID: id, Incarnation: 1, Domain: "d", Group: registry.Membership{Group: "g", Epoch: 3, State: registry.Ready}}
	}
	order := func(operation Operation, to ledger.Member) {
		order := Order{To: to, Operation: operation, Group: "g", Epoch: 3}
		r.recordOutcome(context.Background(), order, engines.Order(context.Background(), order))
	}
	leave := func() { order(Leave, head) }
	released := func() bool { return r.observations.health().Released[FormerKey(former)] }
	doubtful := func() bool { return r.observations.health().Doubtful[FormerKey(former)] }
	ginkgo.BeforeEach(func() {
		engines = &faultyEngines{silent: map[string]bool{}, dark: map[string]bool{}, refusing: map[string]bool{}, failing: map[string]error{}}
		endpoints = &registry.Snapshot{ByID: map[string]*registry.Endpoint{"a": member("a"), "b": member("b")}}
		r = NewReconciler(Dependencies{Engines: engines, Endpoints: func() *registry.Snapshot { return endpoints }, Logger: slog.New(slog.DiscardHandler)})
	})

	ginkgo.DescribeTable("without an entry, and silent to orders, is doubtful after the second one and never counts as released", func(dark bool) {
		engines.silent["head"], engines.dark["head"] = true, dark
		leave()
		Expect(doubtful()).To(BeFalse())
		for range 5 {
			leave()
			Expect(doubtful()).To(BeTrue())
			Expect(released()).To(BeFalse())
		}
	},
		ginkgo.Entry("while it answers probes", false),
		ginkgo.Entry("and silent to probes: it may stand still", true),
	)

	ginkgo.It("and refuses connections is doubtful, with an entry or without, and never counts as released", func() {
		engines.refusing["head"] = true
		leave()
		Expect(doubtful()).To(BeTrue())
		endpoints.ByID["head"] = member("head")
		leave()
		Expect(released()).To(BeFalse())
	})

	ginkgo.It("and rejects the order for another reason than that it is not in the group is doubtful", func() {
		engines.failing["head"] = &RefusedError{Status: 503}
		leave()
		Expect(doubtful()).To(BeTrue())
		Expect(released()).To(BeFalse())
	})

	ginkgo.DescribeTable("is not doubted while no member answers: the whole group may be out of reach, and serve", func(refusing bool) {
		for _, id := range []string{"head", "a", "b"} {
			engines.refusing[id], engines.dark[id] = refusing, true
		}
		for range 5 {
			leave()
		}
		Expect(doubtful()).To(BeFalse())
		Expect(released()).To(BeFalse())
	},
		ginkgo.Entry("silent", false),
		ginkgo.Entry("refusing connections", true),
	)

	ginkgo.DescribeTable("counts as released once it is known to be out of the group", func(result error) {
		engines.failing["head"] = result
		leave()
		Expect(released()).To(BeTrue())
		Expect(r.observations.health().Ended[GroupKey("g", 3)]).To(BeTrue())
	},
		ginkgo.Entry("it has left", nil),
		ginkgo.Entry("it is in another group or in none", &RefusedError{Status: 409, NotInGroup: true}),
		ginkgo.Entry("another endpoint holds its address", &GoneError{Err: syscall.EINVAL}),
	)

	ginkgo.It("keeps each member until that one has left the group itself", func() {
		for id, fault := range map[string]map[string]bool{"a": engines.refusing, "b": engines.silent} {
			vacated := func() bool {
				return r.observations.health().Vacated[VacancyKey(memberOf(endpoints.ByID[id]), "g", 3)]
			}
			fault[id] = true
			order(Vacate, memberOf(endpoints.ByID[id]))
			Expect(vacated()).To(BeFalse())
			fault[id] = false
			engines.failing[id] = &RefusedError{Status: 500}
			order(Vacate, memberOf(endpoints.ByID[id]))
			Expect(vacated()).To(BeFalse())
			delete(engines.failing, id)
			order(Vacate, memberOf(endpoints.ByID[id]))
			Expect(vacated()).To(BeTrue())
		}
		Expect(released()).To(BeFalse())
		Expect(r.observations.health().Ended).To(BeEmpty(), "a member that leaves releases no other")
	})
})
