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

// decodeStart accepts "INCARNATION SEQUENCE".
func decodeStart(id string, value []byte) (registry.Endpoint, error) {
	born, count, _ := strings.Cut(string(value), " ")
	incarnation, _ := strconv.ParseInt(born, 10, 64)
	sequence, _ := strconv.ParseInt(count, 10, 64)
	return registry.Endpoint{ID: id, Service: "s", Incarnation: incarnation, Sequence: sequence}, nil
}

// Guards against endpoints that get work again after they have left, because the store carries out an old write.
var _ = Describe("An entry that the store carries out late", func() {
	var r *registry.Registry
	write := func(batch keyed.Batch, values ...string) {
		for _, value := range values {
			record := keyed.Record{Key: "a"}
			if value != "" {
				record.Value = []byte(value)
			}
			batch.Records = append(batch.Records, record)
		}
		batch.StartedAt = time.Now()
		r.Apply(batch)
	}
	known := func() bool { return r.Load().ByID["a"] != nil }
	BeforeEach(func() {
		r = registry.New(decodeStart, registry.GracePeriods{Lapsed: time.Millisecond}, slog.New(slog.DiscardHandler), func() {})
		write(keyed.Batch{Complete: true}, "20 7")
	})

	It("does not bring back an endpoint whose entry has been removed", func() {
		write(keyed.Batch{}, "")
		for _, late := range []string{"20 6", "20 7", "19 99"} {
			write(keyed.Batch{}, late)
			Expect(known()).To(BeFalse(), late)
		}
	})

	It("does not bring it back in a whole copy, nor after the endpoint lapsed", func() {
		write(keyed.Batch{Complete: true, OutageDuration: time.Second})
		Expect(r.Load().ByID["a"].Lapsed()).To(BeTrue())
		time.Sleep(2 * time.Millisecond)
		r.Expire(time.Now())
		Expect(known()).To(BeFalse())
		write(keyed.Batch{Complete: true}, "20 6")
		Expect(known()).To(BeFalse())
	})

	It("of an earlier start does not replace that of the current one", func() {
		write(keyed.Batch{}, "19 99", "0 99")
		Expect(r.Load().ByID["a"].Incarnation).To(Equal(int64(20)))
	})

	// An endpoint that is alive must not be lost to the rule.
	It("is told from those of an endpoint that writes on, or starts again", func() {
		write(keyed.Batch{}, "", "20 8")
		Expect(known()).To(BeTrue())
		write(keyed.Batch{}, "", "21 1")
		Expect(known()).To(BeTrue())
	})

	It("does not forget a later announcement that the endpoint is leaving", func() {
		write(keyed.Batch{}, "")
		Expect(r.MarkLeaving("a", 21)).To(BeTrue())
		Expect(r.MarkLeaving("a", 20)).To(BeFalse())
		write(keyed.Batch{}, "21 1")
		Expect(r.Load().ByID["a"].Usable()).To(BeFalse())
	})
})

// Guards against a daemon that uses an endpoint which left before the daemon started.
var _ = Describe("A daemon that starts after an endpoint has left", func() {
	start := func() *registry.Registry {
		return registry.New(decodeStart, registry.GracePeriods{}, slog.New(slog.DiscardHandler), func() {})
	}
	write := func(r *registry.Registry, complete bool, value string) {
		record := keyed.Record{Key: "a"}
		if value != "" {
			record.Value = []byte(value)
		}
		r.Apply(keyed.Batch{Complete: complete, Records: []keyed.Record{record}, StartedAt: time.Now()})
	}
	known := func(r *registry.Registry) bool { return r.Load().ByID["a"] != nil }
	var told []registry.DepartureReport
	var elder *registry.Registry
	BeforeEach(func() {
		elder = start()
		write(elder, true, "20 7")
		Expect(elder.Departures(time.Now())).To(BeEmpty())
		write(elder, false, "")
		told = elder.Departures(time.Now())
		Expect(told).To(Equal([]registry.DepartureReport{{Endpoint: "a", Incarnation: 20, Sequence: 7}}))
	})

	It("is told of it, and ignores what the store carries out late", func() {
		r := start()
		r.LearnDepartures(told)
		write(r, true, "20 6")
		Expect(known(r)).To(BeFalse())
		write(r, false, "20 8")
		Expect(known(r)).To(BeTrue())
	})

	It("drops it if the late entry was read first, and keeps an endpoint that has written on or has started again", func() {
		for value, kept := range map[string]bool{"20 6": false, "20 7": false, "19 9": false, "20 8": true, "21 1": true} {
			r := start()
			write(r, true, value)
			r.LearnDepartures(told)
			Expect(known(r)).To(Equal(kept), value)
			r.LearnDepartures(told)
			Expect(known(r)).To(Equal(kept), value)
		}
	})

	It("does not tell of it for longer than a write may be late, nor learn less than it knows", func() {
		Expect(elder.Departures(time.Now().Add(16 * time.Second))).To(BeEmpty())
		elder.LearnDepartures([]registry.DepartureReport{{Endpoint: "a", Incarnation: 20, Sequence: 5}})
		write(elder, false, "20 6")
		Expect(known(elder)).To(BeFalse())
	})
})

// Guards against an endpoint that is lost as its clock was set back before it started again.
var _ = Describe("An entry of an earlier start", func() {
	It("is used once the later one has not been written for longer than a write may be late", func() {
		r := registry.New(decodeStart, registry.GracePeriods{}, slog.New(slog.DiscardHandler), func() {})
		entry := func(value string, age time.Duration) {
			r.Apply(keyed.Batch{Records: []keyed.Record{{Key: "a", Value: []byte(value)}}, StartedAt: time.Now().Add(-age)})
		}
		entry("20 7", 29*time.Second)
		entry("19 1", 0)
		Expect(r.Load().ByID["a"].Incarnation).To(Equal(int64(20)))
		entry("20 8", 31*time.Second)
		entry("19 2", 0)
		Expect(r.Load().ByID["a"].Incarnation).To(Equal(int64(19)))
	})
})
