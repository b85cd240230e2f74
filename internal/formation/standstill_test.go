package formation

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// unheardEngines answer nothing that is heard for a number of calls.
type unheardEngines struct {
	unheard int32
	calls   atomic.Int32
	onHeard func()
}

func (e *unheardEngines) Order(ctx context.Context, _ Order) error {
	_, err := e.Report(ctx, ledger.Member{})
	return err
}

func (e *unheardEngines) Report(ctx context.Context, to ledger.Member) (Report, error) {
	if e.calls.Add(1) <= e.unheard {
		<-ctx.Done()
		return Report{}, errors.New("no answer")
	}
	e.onHeard()
	return Report{Incarnation: to.Incarnation}, nil
}

var _ = ginkgo.Describe("A planner whose process stands still while it waits for answers", func() {
	member := ledger.Member{ID: "e0", Incarnation: 1}
	companion := &registry.Endpoint{ID: "e1", Incarnation: 1, Group: registry.Membership{Group: "g", Epoch: 3, Rank: 1}} // answers, so that orders to the head are counted
	var standstills *awake.Standstills
	planner := func(unheard int32) (*Reconciler, *unheardEngines) {
		engines := &unheardEngines{unheard: unheard, onHeard: func() { standstills.Look(time.Now()) }}
		return NewReconciler(Dependencies{
			Engines: engines, Endpoints: func() *registry.Snapshot {
				return &registry.Snapshot{ByID: map[string]*registry.Endpoint{"e1": companion}}
			}, Standstills: standstills,
			Ledger: ledger.New(nil, slog.New(slog.DiscardHandler), func() {}), ExpectChange: func(time.Duration) {}, Logger: slog.New(slog.DiscardHandler),
		}), engines
	}
	ginkgo.BeforeEach(func() {
		standstills = &awake.Standstills{}
		standstills.Look(time.Now()) // and no more while nothing is heard
	})

	// Guards against running members that are replaced, as their answers to probes wait unread.
	ginkgo.It("takes no member for dead whose answers it could not read", func() {
		r, _ := planner(4)
		alive, _ := r.probeMember(context.Background(), member)
		Expect(alive).To(BeTrue())
	})

	ginkgo.It("does not probe on and on", func() {
		r, engines := planner(1000)
		alive, _ := r.probeMember(context.Background(), member)
		Expect(alive).To(BeFalse())
		Expect(engines.calls.Load()).To(BeEquivalentTo(maxProbeAttempts))
	})

	// Guards against heads that are released, and still serve, as their answers to orders wait unread.
	ginkgo.It("counts no order as unanswered whose answer it could not read", func() {
		r, _ := planner(1)
		order := Order{To: member, Operation: Leave, Group: "g", Epoch: 3}
		r.execute(context.Background(), order)
		r.observations.mu.Lock()
		defer r.observations.mu.Unlock()
		Expect(r.observations.unanswered).To(BeEmpty())
	})
})
