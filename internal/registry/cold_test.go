package registry_test

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// decodeCold accepts "INCARNATION" and "INCARNATION COLDMS", with "#SEQUENCE" behind the incarnation if it matters.
func decodeCold(id string, value []byte) (registry.Endpoint, error) {
	start, cold, stated := strings.Cut(string(value), " ")
	born, count, _ := strings.Cut(start, "#")
	incarnation, _ := strconv.ParseInt(born, 10, 64)
	sequence, _ := strconv.ParseInt(count, 10, 64)
	ms, _ := strconv.ParseFloat(cold, 64)
	return registry.Endpoint{ID: id, Service: "s", Incarnation: incarnation, Sequence: sequence, ColdStated: stated, ColdRemainingMS: ms}, nil
}

var _ = Describe("The time until which an endpoint is cold", func() {
	const start = 3 * time.Second
	var r *registry.Registry
	apply := func(batch keyed.Batch, value string) {
		record := keyed.Record{Key: "a"}
		if value != "" {
			record.Value = []byte(value)
		}
		batch.Records = []keyed.Record{record}
		r.Apply(batch)
	}
	// remaining returns how long the endpoint is cold from now on.
	remaining := func() time.Duration { return time.Until(r.Load().ByID["a"].ColdEnd(start)) }
	about := func(d time.Duration) OmegaMatcher { return BeNumerically("~", d, 200*time.Millisecond) }
	BeforeEach(func() {
		r = registry.New(decodeCold, registry.GracePeriods{}, slog.New(slog.DiscardHandler), func() {})
	})

	It("counts from when the entry is read, and is not taken back by an older entry", func() {
		apply(keyed.Batch{Complete: true}, "1 2000")
		Expect(remaining()).To(about(2 * time.Second))
		apply(keyed.Batch{}, "1 0")
		apply(keyed.Batch{}, "1")
		Expect(remaining()).To(about(2 * time.Second))
		apply(keyed.Batch{}, "1 5000")
		Expect(remaining()).To(about(5 * time.Second))
	})

	It("is unknown and taken for past if the endpoint was there at the first read", func() {
		apply(keyed.Batch{Complete: true}, "1")
		Expect(r.Load().ByID["a"].ColdEnd(start)).To(BeZero())
	})

	// A restarted endpoint that gets its former load at once breaks.
	It("is that of a start for a new incarnation whose entry does not say, or says what is unusable", func() {
		apply(keyed.Batch{Complete: true}, "1")
		for i, text := range []string{"2", "3 -1", "4 3600001"} {
			apply(keyed.Batch{}, text)
			Expect(remaining()).To(about(start), text)
			Expect(r.Load().ByID["a"].ColdError != nil).To(Equal(i > 0), text)
		}
		apply(keyed.Batch{}, "5 0")
		Expect(r.Load().ByID["a"].ColdEnd(start)).To(BeZero(), "it says that it is not cold")
	})

	It("does not begin again when the entry of an incarnation returns", func() {
		apply(keyed.Batch{Complete: true}, "1")
		apply(keyed.Batch{}, "")
		apply(keyed.Batch{}, "1#1")
		Expect(r.Load().ByID["a"].ColdEnd(start)).To(BeZero())
	})

	// A reader that kept such an entry for a heartbeat would leave the others to send what they like.
	It("is news that a reader passes on, and so is its end", func() {
		filter := registry.NewEntryFilter(decodeCold)
		for _, step := range []struct {
			value string
			want  keyed.Significance
		}{{"1 0", keyed.News}, {"1 0", keyed.Repeat}, {"1 3000", keyed.News}, {"1 900", keyed.News}, {"1 3000", keyed.News}, {"1 0", keyed.News}, {"1 0", keyed.Repeat}} {
			Expect(filter.Classify(keyed.Record{Key: "a", Value: []byte(step.value)})).To(Equal(step.want), step.value)
		}
	})
})
