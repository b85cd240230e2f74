package registry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

var _ = Describe("The filter of entries that say something new", func() {
	var filter *registry.EntryFilter
	significant := func(key, value string) bool {
		record := keyed.Record{Key: key}
		if value != "" {
			record.Value = []byte(value)
		}
		return filter.Significant(record)
	}
	BeforeEach(func() {
		filter = registry.NewEntryFilter(decode)
		Expect(significant("a", "s ready 1")).To(BeTrue())
	})

	It("passes over heartbeats", func() {
		Expect(significant("a", "s ready 2")).To(BeFalse())
		Expect(significant("b", "s ready 1")).To(BeTrue())
		Expect(significant("a", "s draining 3")).To(BeTrue())
		Expect(significant("a", "s draining 4")).To(BeFalse())
	})

	It("passes on removals, and the same entry after one", func() {
		Expect(significant("a", "")).To(BeTrue())
		Expect(significant("a", "s ready 1")).To(BeTrue())
	})

	It("passes on an invalid entry once, and a valid one after it", func() {
		Expect(significant("a", "bad")).To(BeTrue())
		Expect(significant("a", "bad")).To(BeFalse())
		Expect(significant("a", "s ready 2")).To(BeTrue())
	})

	It("passes on all entries after the topic is read anew", func() {
		filter.Reset()
		Expect(significant("a", "s ready 2")).To(BeTrue())
	})
})
