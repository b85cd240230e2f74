package registry_test

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// decode reads "service", "service draining" or fails.
func decode(id string, value []byte) (registry.Endpoint, error) {
	service, state, _ := strings.Cut(string(value), " ")
	if service == "bad" {
		return registry.Endpoint{}, errors.ErrUnsupported
	}
	return registry.Endpoint{ID: id, Service: service, Draining: state == "draining"}, nil
}

var _ = Describe("The registry", func() {
	const grace = 400 * time.Millisecond
	const lateGrace = 100 * time.Millisecond
	var r *registry.Registry
	var changes int
	apply := func(batch keyed.Batch, entries ...string) {
		for i := 0; i < len(entries); i += 2 {
			record := keyed.Record{Key: entries[i]}
			if entries[i+1] != "" {
				record.Value = []byte(entries[i+1])
			}
			batch.Records = append(batch.Records, record)
		}
		r.Apply(batch)
	}
	ids := func() []string {
		var found []string
		for _, e := range r.Load().ByService["s"] {
			found = append(found, e.ID)
		}
		return found
	}
	BeforeEach(func() {
		r = registry.New(decode, registry.Grace{Lapsed: grace, Removed: lateGrace}, slog.New(slog.DiscardHandler), func() { changes++ })
		apply(keyed.Batch{Whole: true}, "a", "s", "b", "s")
	})

	It("keeps the last good entry when another writer spoils it", func() {
		apply(keyed.Batch{}, "a", "bad", "c", "bad")
		Expect(ids()).To(Equal([]string{"a", "b"}))
	})

	It("takes a removed endpoint as gone at once", func() {
		apply(keyed.Batch{}, "a", "")
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("keeps what lapsed in an outage until the grace is over", func() {
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		Expect(ids()).To(Equal([]string{"a", "b"}))
		Expect(r.Load().ByID["a"].Lapsed()).To(BeTrue())
		time.Sleep(grace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("keeps what is removed after the outage for a shorter time, as it may be on purpose", func() {
		apply(keyed.Batch{Regained: time.Second}, "b", "s")
		apply(keyed.Batch{}, "a", "")
		Expect(ids()).To(Equal([]string{"a", "b"}))
		time.Sleep(lateGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("tells of a change when the grace is over, and of none otherwise", func() {
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		before := changes
		r.Expire(time.Now())
		Expect(changes).To(Equal(before))
		time.Sleep(grace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(changes).To(Equal(before + 1))
	})

	It("forgets the lapse of an endpoint that is back in time", func() {
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		apply(keyed.Batch{}, "a", "s")
		time.Sleep(grace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"a", "b"}))
	})

	It("keeps no endpoint that was leaving before the outage", func() {
		apply(keyed.Batch{}, "a", "s draining")
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("drops what a whole reading does not hold", func() {
		apply(keyed.Batch{Whole: true}, "b", "s")
		Expect(ids()).To(Equal([]string{"b"}))
	})
})
