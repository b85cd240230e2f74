package fakes

import (
	"container/list"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// keptEvents is the number of cache events that an engine keeps.
const keptEvents = 8 * endpoint.MaxCacheEvents

// PromptCache is an engine's prefix cache: it holds a bounded number of blocks
// and evicts the one that was used longest ago. It is not safe for concurrent
// use.
type PromptCache struct {
	capacity int
	order    *list.List               // of blocks, the one used last in front
	held     map[uint64]*list.Element // by block
	events   []cachedEvent
	last     uint64 // sequence number of the newest event
}

// cachedEvent is a cache event with the time at which it happened.
type cachedEvent struct {
	endpoint.CacheEvent
	at time.Time
}

// NewPromptCache returns an empty cache of a number of blocks.
func NewPromptCache(capacity int) *PromptCache {
	return &PromptCache{capacity: capacity, order: list.New(), held: map[uint64]*list.Element{}}
}

// Read reads a prompt: it stores the blocks and returns how many leading ones
// were held.
func (c *PromptCache) Read(blocks []uint64, now time.Time) int {
	hits := 0
	for hits < len(blocks) && c.held[blocks[hits]] != nil {
		hits++
	}
	// The last block is used first, so that a prompt loses its end before its
	// beginning.
	for i := len(blocks) - 1; i >= 0; i-- {
		c.use(blocks[i], now)
	}
	return hits
}

func (c *PromptCache) use(block uint64, now time.Time) {
	if element, ok := c.held[block]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.held[block] = c.order.PushFront(block)
	c.note(endpoint.CacheEvent{Block: block}, now)
	for c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.held, oldest)
		c.note(endpoint.CacheEvent{Block: oldest, Evicted: true}, now)
	}
}

func (c *PromptCache) note(event endpoint.CacheEvent, now time.Time) {
	c.last++
	c.events = append(c.events, cachedEvent{CacheEvent: event, at: now})
	if len(c.events) > 2*keptEvents {
		c.events = append([]cachedEvent(nil), c.events[len(c.events)-keptEvents:]...)
	}
}

// Last returns the sequence number of the newest event.
func (c *PromptCache) Last() uint64 { return c.last }

// Published returns the newest events after a sequence number that happened
// before a time, as many as one answer carries.
func (c *PromptCache) Published(after uint64, before time.Time) *endpoint.CacheEvents {
	begin := c.last - uint64(len(c.events)) + 1 // sequence number of events[0]
	end := len(c.events)
	for end > 0 && c.events[end-1].at.After(before) {
		end--
	}
	from := max(end-endpoint.MaxCacheEvents, 0)
	if after >= begin {
		from = max(from, int(after-begin)+1)
	}
	published := &endpoint.CacheEvents{Read: c.last}
	if from >= end {
		return published
	}
	published.First = begin + uint64(from)
	for _, event := range c.events[from:end] {
		published.Events = append(published.Events, event.CacheEvent)
	}
	return published
}

// loseOldest leaves out the oldest events, as a lossy network does.
func loseOldest(events *endpoint.CacheEvents, count int) {
	events.First += uint64(count)
	events.Events = events.Events[count:]
}
