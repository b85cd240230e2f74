package registry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

var _ = Describe("The filter of entries that say something new", func() {
	var filter *registry.EntryFilter
	classify := func(key, value string) keyed.Significance {
		record := keyed.Record{Key: key}
		if value != "" {
			record.Value = []byte(value)
		}
		return filter.Classify(record)
	}
	BeforeEach(func() {
		filter = registry.NewEntryFilter(decode)
		Expect(classify("a", "s ready 1")).To(Equal(keyed.News))
	})

	It("passes over heartbeats", func() {
		Expect(classify("a", "s ready 2")).To(Equal(keyed.Repeat))
		Expect(classify("b", "s ready 1")).To(Equal(keyed.News))
		Expect(classify("a", "s draining 3")).To(Equal(keyed.News))
		Expect(classify("a", "s draining 4")).To(Equal(keyed.Repeat))
	})

	It("passes on removals, and a later entry after one", func() {
		Expect(classify("a", "")).To(Equal(keyed.News))
		Expect(classify("a", "s ready 2")).To(Equal(keyed.News))
	})

	// Guards against listeners that use an endpoint again whose heartbeat the store has carried out late.
	It("passes on to nobody what was written before the latest entry, also once that is removed and the topic is read anew", func() {
		Expect(classify("a", "s ready 3")).To(Equal(keyed.Repeat))
		Expect(classify("a", "s ready 2")).To(Equal(keyed.Outdated))
		Expect(classify("a", "")).To(Equal(keyed.News))
		Expect(classify("a", "s ready 3")).To(Equal(keyed.Outdated))
		filter.Reset()
		Expect(classify("a", "s ready 2")).To(Equal(keyed.Outdated))
		Expect(classify("a", "s ready 4")).To(Equal(keyed.News))
	})

	It("passes on an invalid entry once, and a valid one after it", func() {
		Expect(classify("a", "bad")).To(Equal(keyed.News))
		Expect(classify("a", "bad")).To(Equal(keyed.Repeat))
		Expect(classify("a", "s ready 2")).To(Equal(keyed.News))
	})

	It("passes on all entries after the topic is read anew", func() {
		filter.Reset()
		Expect(classify("a", "s ready 2")).To(Equal(keyed.News))
	})
})
