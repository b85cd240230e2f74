package promptcache

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// BlockTTL is the time after which a block that was not confirmed counts as evicted.
const BlockTTL = 5 * time.Minute

// Index is one daemon's estimate of the prefix cache of one group's engine. The zero
// value is empty. An index is valid for one boot of the engine, as a group is.
type Index struct {
	writer  sync.Mutex // serialises writers, which never block while they hold it
	current atomic.Pointer[table]
	applied atomic.Uint64 // sequence number of the last event applied
}

// Applied returns the sequence number of the last event applied, or 0.
func (x *Index) Applied() uint64 { return x.applied.Load() }

// Held returns the number of leading blocks of a prompt that are probably cached.
func (x *Index) Held(blocks []uint64, now time.Time) int {
	cached := x.current.Load()
	if cached == nil {
		return 0
	}
	for i, block := range blocks {
		if !cached.slot(block).holds(block, now) {
			return i
		}
	}
	return len(blocks)
}

// Learn records the blocks of a prompt that the engine has just prefilled, and the
// events that came with the first frame of its answer, which may be nil. It returns true
// when events were missed, and clears the index before it records the new ones.
func (x *Index) Learn(blocks []uint64, events *endpoint.CacheEvents, now time.Time) (gap bool) {
	if len(blocks) == 0 && events == nil {
		return false
	}
	if !x.writer.TryLock() {
		return false // another answer is being recorded; the next one has the same events again
	}
	defer x.writer.Unlock()
	gap = x.hasGap(events)
	if gap || x.current.Load() == nil {
		x.current.Store(&table{})
	}
	expiry := now.Add(BlockTTL)
	x.recordPrompt(blocks, events, expiry)
	x.apply(events, expiry)
	return gap
}

func (x *Index) hasGap(events *endpoint.CacheEvents) bool {
	if events == nil || len(events.Events) == 0 {
		return false
	}
	applied := x.applied.Load()
	return applied > 0 && events.First > applied+1
}

// recordPrompt records the blocks of a request of this daemon. They are newer than every
// event that the engine had numbered before it prefilled them.
func (x *Index) recordPrompt(blocks []uint64, events *endpoint.CacheEvents, expiry time.Time) {
	sequence := uint64(0)
	if events != nil {
		sequence = events.Read
	}
	cached := x.current.Load()
	for _, block := range blocks {
		cached.slot(block).put(block, sequence, expiry)
	}
}

func (x *Index) apply(events *endpoint.CacheEvents, expiry time.Time) {
	if events == nil {
		return
	}
	cached, applied := x.current.Load(), x.applied.Load()
	for i, event := range events.Events {
		sequence := events.First + uint64(i)
		if sequence <= applied {
			continue
		}
		applied = sequence
		if event.Evicted {
			cached.slot(event.Block).evict(event.Block, sequence)
			continue
		}
		cached.slot(event.Block).store(event.Block, sequence, expiry)
	}
	x.applied.Store(applied)
}
