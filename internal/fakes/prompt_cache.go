package fakes

import (
	"container/list"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// minRetainedEvents is the number of cache events that a PromptCache retains at
// least; it trims them when there are twice as many.
const minRetainedEvents = 8 * endpoint.MaxCacheEvents

// PromptCache is the prefix cache of an engine: an LRU cache of a bounded number of
// blocks that records its insertions and evictions as events. It is not safe for
// concurrent use.
type PromptCache struct {
	capacity     int
	recency      *list.List               // of blocks, the most recently used first
	elements     map[uint64]*list.Element // element of recency by block
	events       []cachedEvent
	lastSequence uint64 // sequence number of the newest event
}

// cachedEvent is a cache event with its time.
type cachedEvent struct {
	endpoint.CacheEvent
	at time.Time
}

// NewPromptCache returns an empty cache with a capacity in blocks.
func NewPromptCache(capacity int) *PromptCache {
	return &PromptCache{capacity: capacity, recency: list.New(), elements: map[uint64]*list.Element{}}
}

// Read looks up the blocks of a prompt, inserts the missing ones and returns the
// length of the longest cached prefix in blocks.
func (c *PromptCache) Read(blocks []uint64, now time.Time) int {
	hits := 0
	for hits < len(blocks) && c.elements[blocks[hits]] != nil {
		hits++
	}
	// Touch the last block first, so that the end of a prompt is evicted before
	// its beginning.
	for i := len(blocks) - 1; i >= 0; i-- {
		c.use(blocks[i], now)
	}
	return hits
}

// use marks a block as most recently used; it inserts the block if it is missing
// and evicts down to the capacity.
func (c *PromptCache) use(block uint64, now time.Time) {
	if element, ok := c.elements[block]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.elements[block] = c.recency.PushFront(block)
	c.addEvent(endpoint.CacheEvent{Block: block}, now)
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, oldest)
		c.addEvent(endpoint.CacheEvent{Block: oldest, Evicted: true}, now)
	}
}

func (c *PromptCache) addEvent(event endpoint.CacheEvent, now time.Time) {
	c.lastSequence++
	c.events = append(c.events, cachedEvent{CacheEvent: event, at: now})
	if len(c.events) > 2*minRetainedEvents {
		c.events = append([]cachedEvent(nil), c.events[len(c.events)-minRetainedEvents:]...)
	}
}

// Last returns the sequence number of the newest event.
func (c *PromptCache) Last() uint64 { return c.lastSequence }

// Published returns the events with a sequence number above after and a time not
// later than before; if there are more than MaxCacheEvents, the newest of them.
func (c *PromptCache) Published(after uint64, before time.Time) *endpoint.CacheEvents {
	firstSequence := c.lastSequence - uint64(len(c.events)) + 1 // sequence number of events[0]
	end := len(c.events)
	for end > 0 && c.events[end-1].at.After(before) {
		end--
	}
	from := max(end-endpoint.MaxCacheEvents, 0)
	if after >= firstSequence {
		from = max(from, int(after-firstSequence)+1)
	}
	published := &endpoint.CacheEvents{Read: c.lastSequence}
	if from >= end {
		return published
	}
	published.First = firstSequence + uint64(from)
	for _, event := range c.events[from:end] {
		published.Events = append(published.Events, event.CacheEvent)
	}
	return published
}

// dropOldest removes the count oldest events, which leaves a gap in the sequence
// numbers.
func dropOldest(events *endpoint.CacheEvents, count int) {
	events.First += uint64(count)
	events.Events = events.Events[count:]
}
