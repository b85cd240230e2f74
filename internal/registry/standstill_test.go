package registry_test

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

var _ = Describe("The entries of a daemon whose process stands still", func() {
	const grace = 200 * time.Millisecond

	// Guards against endpoints that are removed on waking while their new entries wait unread.
	It("do not expire before it has run for their grace period", func() {
		standstills := &awake.Standstills{Interval: 100 * time.Millisecond}
		r := registry.New(decode, registry.GracePeriods{Lapsed: grace, Removed: grace, Standstills: standstills}, slog.New(slog.DiscardHandler), func() {})
		r.Apply(keyed.Batch{Complete: true, Records: []keyed.Record{{Key: "a", Value: []byte("s")}}})
		r.Apply(keyed.Batch{Complete: true, OutageDuration: time.Second})
		at := time.Now()
		Expect(r.Load().ByID["a"].Lapsed()).To(BeTrue())
		standstills.Look(at)
		at = at.Add(5 * time.Second)
		r.Expire(at)
		standstills.Look(at)
		r.Expire(at)
		Expect(r.Load().ByID).To(HaveKey("a"))
		for range 2 {
			at = at.Add(standstills.Interval)
			standstills.Look(at)
		}
		r.Expire(at)
		Expect(r.Load().ByID).To(BeEmpty())
	})
})
