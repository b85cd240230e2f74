package formation

import (
	"context"
	"log/slog"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// refusingEngines refuse all connections but those to some endpoints.
type refusingEngines struct{ reached map[string]bool }

func (e *refusingEngines) Order(_ context.Context, order Order) error {
	if e.reached[order.To.ID] {
		return nil
	}
	return &GoneError{Refused: true, Err: syscall.ECONNREFUSED}
}

func (e *refusingEngines) Report(_ context.Context, to ledger.Member) (Report, error) {
	if e.reached[to.ID] {
		return Report{Incarnation: to.Incarnation}, nil
	}
	return Report{}, &GoneError{Refused: true, Err: syscall.ECONNREFUSED}
}

var _ = ginkgo.Describe("A former head that refuses the connection of an order to leave", func() {
	head := ledger.Member{ID: "head", Incarnation: 1}
	released := func(reached ...string) bool {
		engines := &refusingEngines{reached: map[string]bool{}}
		for _, id := range reached {
			engines.reached[id] = true
		}
		endpoints := &registry.Snapshot{ByID: map[string]*registry.Endpoint{"other": {ID: "other", Incarnation: 1, Domain: "d"}, "head": {ID: "head", Incarnation: 1, Domain: "d"}}}
		r := NewReconciler(Dependencies{Engines: engines, Endpoints: func() *registry.Snapshot { return endpoints }, Logger: slog.New(slog.DiscardHandler)})
		order := Order{To: head, Operation: Leave, Group: "g", Epoch: 3}
		r.recordOutcome(context.Background(), order, engines.Order(context.Background(), order))
		return r.observations.health().Released[FormerKey(ledger.FormerGroup{Group: "g", Epoch: 3, Head: head})]
	}

	ginkgo.It("is not taken for gone by a daemon whose connections to all endpoints are refused", func() {
		Expect(released()).To(BeFalse())
	})

	ginkgo.It("is taken for gone by a daemon that reaches another endpoint", func() {
		Expect(released("other")).To(BeTrue())
	})
})
