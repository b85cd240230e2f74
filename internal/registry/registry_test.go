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

// decode accepts "service" and "service draining", and fails on "bad".
func decode(id string, value []byte) (registry.Endpoint, error) {
	service, state, _ := strings.Cut(string(value), " ")
	if service == "bad" {
		return registry.Endpoint{}, errors.ErrUnsupported
	}
	return registry.Endpoint{ID: id, Service: service, Draining: state == "draining"}, nil
}

var _ = Describe("The registry", func() {
	const lapsedGrace = 400 * time.Millisecond
	const removedGrace = 100 * time.Millisecond
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
		r = registry.New(decode, registry.Grace{Lapsed: lapsedGrace, Removed: removedGrace}, slog.New(slog.DiscardHandler), func() { changes++ })
		apply(keyed.Batch{Whole: true}, "a", "s", "b", "s")
	})

	It("retains the last valid entry when an invalid one is written", func() {
		apply(keyed.Batch{}, "a", "bad", "c", "bad")
		Expect(ids()).To(Equal([]string{"a", "b"}))
	})

	It("removes an endpoint immediately when its entry is removed", func() {
		apply(keyed.Batch{}, "a", "")
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("retains an endpoint whose entry expired during an outage until the grace period ends", func() {
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		Expect(ids()).To(Equal([]string{"a", "b"}))
		Expect(r.Load().ByID["a"].Lapsed()).To(BeTrue())
		time.Sleep(lapsedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("applies a shorter grace period to an entry removed after the outage, which may be intentional", func() {
		apply(keyed.Batch{Regained: time.Second}, "b", "s")
		apply(keyed.Batch{}, "a", "")
		Expect(ids()).To(Equal([]string{"a", "b"}))
		time.Sleep(removedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("notifies of a change only when the grace period ends", func() {
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		before := changes
		r.Expire(time.Now())
		Expect(changes).To(Equal(before))
		time.Sleep(lapsedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(changes).To(Equal(before + 1))
	})

	It("cancels the expiry of an endpoint whose entry returns within the grace period", func() {
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		apply(keyed.Batch{}, "a", "s")
		time.Sleep(lapsedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"a", "b"}))
	})

	It("grants no grace period to an endpoint that was draining before the outage", func() {
		apply(keyed.Batch{}, "a", "s draining")
		apply(keyed.Batch{Regained: time.Second}, "a", "")
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("removes endpoints that are missing from a full read", func() {
		apply(keyed.Batch{Whole: true}, "b", "s")
		Expect(ids()).To(Equal([]string{"b"}))
	})
})
