package promptcache_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/promptcache"
)

var _ = Describe("Index", func() {
	now := time.Unix(1000, 0)
	prompt := []uint64{1, 2, 3}
	events := func(read, first uint64, list ...endpoint.CacheEvent) *endpoint.CacheEvents {
		return &endpoint.CacheEvents{Read: read, First: first, Events: list}
	}
	stored := func(block uint64) endpoint.CacheEvent { return endpoint.CacheEvent{Block: block} }
	evicted := func(block uint64) endpoint.CacheEvent { return endpoint.CacheEvent{Block: block, Evicted: true} }

	It("counts the leading blocks that were stored and not evicted", func() {
		var x promptcache.Index
		Expect(x.Held(prompt, now)).To(BeZero())
		Expect(x.Learn(nil, events(0, 1, stored(1), stored(2), stored(3), evicted(2)), now)).To(BeFalse())
		Expect(x.Held(prompt, now)).To(Equal(1))
		Expect(x.Applied()).To(BeEquivalentTo(4))
		Expect(x.Learn(nil, events(0, 4, evicted(2), stored(2)), now)).To(BeFalse())
		Expect(x.Held(prompt, now)).To(Equal(3))
	})

	It("ignores events that are older than a request of its own", func() {
		var x promptcache.Index
		x.Learn(prompt, events(9, 0), now)
		x.Learn(nil, events(12, 8, evicted(1), evicted(2)), now)
		Expect(x.Held(prompt, now)).To(Equal(3))
		x.Learn(nil, events(12, 10, evicted(3)), now)
		Expect(x.Held(prompt, now)).To(Equal(2))
	})

	It("is cleared when events are missed, and records the events that follow", func() {
		var x promptcache.Index
		x.Learn(prompt, events(3, 1, stored(1), stored(2)), now)
		Expect(x.Learn(nil, events(9, 4, stored(1)), now)).To(BeTrue())
		Expect(x.Held(prompt, now)).To(Equal(1))
		Expect(x.Learn(nil, events(9, 5, stored(2)), now)).To(BeFalse())
		Expect(x.Held(prompt, now)).To(Equal(2))
	})

	It("expires blocks that were not confirmed", func() {
		var x promptcache.Index
		x.Learn(prompt, nil, now)
		Expect(x.Held(prompt, now.Add(promptcache.BlockTTL-1))).To(Equal(3))
		Expect(x.Held(prompt, now.Add(promptcache.BlockTTL))).To(BeZero())
	})
})
