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
