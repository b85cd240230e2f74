package formation

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// countingEngines count the probes of each endpoint and answer those of some.
type countingEngines struct {
	mu       sync.Mutex
	answers  map[string]bool
	received map[string]int
}

func (e *countingEngines) Order(context.Context, Order) error { return nil }

func (e *countingEngines) Report(ctx context.Context, to ledger.Member) (Report, error) {
	e.mu.Lock()
	e.received[to.ID]++
	answers := e.answers[to.ID]
	e.mu.Unlock()
	if answers {
		return Report{Incarnation: to.Incarnation}, nil
	}
	<-ctx.Done()
	return Report{}, ctx.Err()
}

var _ = ginkgo.Describe("Probes of a group whose members have lost their entries together", func() {
	const members = 12
	// probe has the members of a group probed, of which the first few have lost their entries.
	probe := func(absent int, answering ...string) (*countingEngines, map[string]Absence) {
		record := &ledger.Record{Group: "g", Epoch: 1, Domain: "d"}
		endpoints := &registry.Snapshot{ByID: map[string]*registry.Endpoint{}}
		for i := range members {
			member := ledger.Member{ID: fmt.Sprintf("e%d", i), Incarnation: 1}
			record.Members = append(record.Members, member)
			if i >= absent {
				endpoints.ByID[member.ID] = &registry.Endpoint{ID: member.ID, Incarnation: 1, Domain: "d"}
			}
		}
		engines := &countingEngines{answers: map[string]bool{}, received: map[string]int{}}
		for _, id := range answering {
			engines.answers[id] = true
		}
		r := NewReconciler(Dependencies{Engines: engines, Owns: func(string) bool { return true }, Logger: slog.New(slog.DiscardHandler)})
		in := Input{Endpoints: endpoints, Groups: &ledger.State{Groups: map[string]*ledger.Record{"g": record}}, Now: time.Now()}
		r.probeAbsent(context.Background(), in)
		r.pool.StopAndWait()
		return engines, r.observations.health().Absent
	}

	ginkgo.It("do not grow with the square of the members: each endpoint is probed for the whole group at once", func() {
		engines, absent := probe(members)
		for id, count := range engines.received {
			Expect(count).To(BeNumerically("<=", probeAttempts), id)
		}
		Expect(absent).To(HaveLen(members))
		for id, a := range absent {
			Expect(a.State).To(Equal(Unconfirmed), id)
		}
	})

	ginkgo.It("tell a silent member from a silent domain by any other member that answers, with an entry or without", func() {
		_, absent := probe(2, "e7")
		Expect(absent["e0"].State).To(Equal(Unresponsive))
		Expect(absent["e1"].State).To(Equal(Unresponsive))
		_, absent = probe(members, "e3")
		Expect(absent["e3"].State).To(Equal(Alive))
		Expect(absent["e4"].State).To(Equal(Unresponsive))
	})
})
