package formation

import (
	"context"
	"log/slog"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

var _ = ginkgo.Describe("A group one of whose members answers no probe", func() {
	members := []ledger.Member{{ID: "e0", Incarnation: 1}, {ID: "e1", Incarnation: 1}, {ID: "e2", Incarnation: 1}}
	var newsDelay time.Duration
	ginkgo.BeforeEach(func() { newsDelay = 0 })
	probe := func(servedSince func(string, uint64, time.Time) bool, answering ...string) map[string]int64 {
		engines := &countingEngines{answers: map[string]bool{}, received: map[string]int{}}
		for _, id := range answering {
			engines.answers[id] = true
		}
		r := NewReconciler(Dependencies{Engines: engines, ServedSince: servedSince, NewsDelay: func() time.Duration { return newsDelay }, Logger: slog.New(slog.DiscardHandler)})
		r.probeGroup(context.Background(), &ledger.Record{Group: "g", Epoch: 3, Members: members}, "")
		return r.observations.health().Dead
	}

	ginkgo.It("has lost it unless the group sends an event meanwhile", func() {
		Expect(probe(nil, "e0", "e1")).To(Equal(map[string]int64{"e2": 1}))
		Expect(probe(func(string, uint64, time.Time) bool { return false }, "e0", "e1")).To(Equal(map[string]int64{"e2": 1}))
	})

	// Guards against taking a sound group apart, with its streams, after a pause that is over.
	ginkgo.It("is kept if it sends an event after the probe began", func() {
		began := time.Now()
		var asked []any
		lost := probe(func(group string, epoch uint64, since time.Time) bool {
			asked = append(asked, group, epoch)
			Expect(since).To(BeTemporally("~", began, 50*time.Millisecond), "earlier events show nothing")
			return true
		}, "e0", "e1")
		Expect(lost).To(BeEmpty())
		Expect(asked).To(Equal([]any{"g", uint64(3)}))
	})

	ginkgo.It("is kept if the news of the event takes longer than the probe", func() {
		began := time.Now()
		newsDelay = 350 * time.Millisecond // the probe fails after 260 ms
		heard := func(string, uint64, time.Time) bool { return time.Since(began) >= newsDelay }
		Expect(probe(heard, "e0", "e1")).To(BeEmpty())
		newsDelay = time.Minute
		began = time.Now()
		Expect(probe(heard, "e0", "e1")).To(Equal(map[string]int64{"e2": 1}))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second), "a lost member is replaced however late the news is")
	})
})
