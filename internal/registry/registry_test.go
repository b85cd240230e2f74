package registry_test

import (
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// decode accepts "service", "service draining" and "service ready 3" with the entry's sequence, and fails on "bad".
func decode(id string, value []byte) (registry.Endpoint, error) {
	service, state, _ := strings.Cut(string(value), " ")
	if service == "bad" {
		return registry.Endpoint{}, errors.ErrUnsupported
	}
	state, sequence, _ := strings.Cut(state, " ")
	number, _ := strconv.ParseInt(sequence, 10, 64)
	return registry.Endpoint{ID: id, Service: service, Draining: state == "draining", Sequence: number}, nil
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
		r = registry.New(decode, registry.GracePeriods{Lapsed: lapsedGrace, Removed: removedGrace}, slog.New(slog.DiscardHandler), func() { changes++ })
		apply(keyed.Batch{Complete: true}, "a", "s", "b", "s")
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
		apply(keyed.Batch{OutageDuration: time.Second}, "a", "")
		Expect(ids()).To(Equal([]string{"a", "b"}))
		Expect(r.Load().ByID["a"].Lapsed()).To(BeTrue())
		time.Sleep(lapsedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("applies a shorter grace period to an entry removed after the outage, which may be intentional", func() {
		apply(keyed.Batch{OutageDuration: time.Second}, "b", "s")
		apply(keyed.Batch{}, "a", "")
		Expect(ids()).To(Equal([]string{"a", "b"}))
		time.Sleep(removedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"b"}))
	})

	It("notifies of a change only when the grace period ends", func() {
		apply(keyed.Batch{OutageDuration: time.Second}, "a", "")
		before := changes
		r.Expire(time.Now())
		Expect(changes).To(Equal(before))
		time.Sleep(lapsedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(changes).To(Equal(before + 1))
	})

	It("cancels the expiry of an endpoint whose entry returns within the grace period", func() {
		apply(keyed.Batch{OutageDuration: time.Second}, "a", "")
		apply(keyed.Batch{}, "a", "s")
		time.Sleep(lapsedGrace + 20*time.Millisecond)
		r.Expire(time.Now())
		Expect(ids()).To(Equal([]string{"a", "b"}))
	})

	It("grants no grace period to an endpoint that was draining before the outage", func() {
		apply(keyed.Batch{}, "a", "s draining")
		apply(keyed.Batch{OutageDuration: time.Second}, "a", "")
		Expect(ids()).To(Equal([]string{"b"}))
	})

	Describe("when the store comes back from an older copy", func() {
		restored := keyed.Batch{Complete: true, Restored: true, Era: 1}

		It("does not use an endpoint again that has left since", func() {
			apply(keyed.Batch{}, "a", "s ready 7")
			apply(keyed.Batch{}, "a", "")
			apply(restored, "a", "s ready 6", "b", "s")
			Expect(ids()).To(Equal([]string{"b"}))
		})

		It("uses an endpoint again that was removed and writes a new entry", func() {
			apply(keyed.Batch{}, "a", "s ready 7")
			apply(keyed.Batch{}, "a", "")
			apply(restored, "a", "s ready 6", "b", "s")
			apply(keyed.Batch{Era: 1}, "a", "s ready 8")
			Expect(ids()).To(Equal([]string{"a", "b"}))
		})

		It("keeps the later entry of an endpoint that is draining by now", func() {
			apply(keyed.Batch{}, "a", "s draining 7")
			apply(restored, "a", "s ready 6", "b", "s")
			Expect(r.Load().ByID["a"].Draining).To(BeTrue())
		})

		It("waits for the entries of endpoints that the copy lacks", func() {
			apply(restored, "b", "s")
			Expect(ids()).To(Equal([]string{"a", "b"}))
			Expect(r.Load().ByID["a"].Lapsed()).To(BeTrue())
			time.Sleep(lapsedGrace + 20*time.Millisecond)
			r.Expire(time.Now())
			Expect(ids()).To(Equal([]string{"b"}))
		})
	})

	Describe("when an endpoint announces that it is leaving", func() {
		It("gives it no new work, whatever its entry says, before and after the entry arrives", func() {
			Expect(r.MarkLeaving("a", 0)).To(BeTrue())
			Expect(r.MarkLeaving("a", 0)).To(BeFalse(), "known already")
			Expect(r.Load().ByID["a"].Usable()).To(BeFalse())
			apply(keyed.Batch{}, "a", "s ready 9")
			Expect(r.Load().ByID["a"].Usable()).To(BeFalse())
			Expect(r.MarkLeaving("c", 0)).To(BeTrue())
			apply(keyed.Batch{}, "c", "s")
			Expect(r.Load().ByID["c"].Usable()).To(BeFalse())
		})

		It("takes another incarnation for a new endpoint", func() {
			r.MarkLeaving("a", -1)
			Expect(r.Load().ByID["a"].Usable()).To(BeTrue())
		})

		It("keeps the announcement through a removal and a return of the entry", func() {
			r.MarkLeaving("a", 0)
			apply(keyed.Batch{}, "a", "")
			apply(keyed.Batch{}, "a", "s ready 1")
			Expect(r.Load().ByID["a"].Usable()).To(BeFalse())
		})
	})

	It("removes endpoints that are missing from a full read", func() {
		apply(keyed.Batch{Complete: true}, "b", "s")
		Expect(ids()).To(Equal([]string{"b"}))
	})
})
