package promptcache

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Life is the time after which a block that nothing confirmed counts as evicted.
const Life = 5 * time.Minute

// Index is what one daemon knows of the cache of one group's engine. Its zero
// value knows nothing. It belongs to one boot of the engine, as a group does.
type Index struct {
	writer  sync.Mutex // held by one writer at a time, never while waiting
	current atomic.Pointer[table]
	applied atomic.Uint64 // sequence number of the last event applied
}

// Applied returns the sequence number of the last event applied, or zero.
func (x *Index) Applied() uint64 { return x.applied.Load() }

// Held returns how many leading blocks of a prompt the engine probably caches.
func (x *Index) Held(blocks []uint64, now time.Time) int {
	known := x.current.Load()
	if known == nil {
		return 0
	}
	for i, block := range blocks {
		if !known.slot(block).holds(block, now) {
			return i
		}
	}
	return len(blocks)
}

// Learn takes the blocks of a prompt that the engine has just read, and the
// events that came with the first frame of its answer; they may be nil. It
// returns true when events are missing: what was known is dropped then.
func (x *Index) Learn(blocks []uint64, events *endpoint.CacheEvents, now time.Time) (gap bool) {
	if len(blocks) == 0 && events == nil {
		return false
	}
	if !x.writer.TryLock() {
		return false // the next answer brings the same events again
	}
	defer x.writer.Unlock()
	gap = x.missed(events)
	if gap || x.current.Load() == nil {
		x.current.Store(&table{})
	}
	until := now.Add(Life)
	x.use(blocks, events, until)
	x.apply(events, until)
	return gap
}

func (x *Index) missed(events *endpoint.CacheEvents) bool {
	if events == nil || len(events.Events) == 0 {
		return false
	}
	applied := x.applied.Load()
	return applied > 0 && events.First > applied+1
}

// use notes the blocks of an own request, which are newer than every event that
// the engine numbered before it read them.
func (x *Index) use(blocks []uint64, events *endpoint.CacheEvents, until time.Time) {
	sequence := uint64(0)
	if events != nil {
		sequence = events.Read
	}
	known := x.current.Load()
	for _, block := range blocks {
		known.slot(block).put(block, sequence, until)
	}
}

func (x *Index) apply(events *endpoint.CacheEvents, until time.Time) {
	if events == nil {
		return
	}
	known, applied := x.current.Load(), x.applied.Load()
	for i, event := range events.Events {
		sequence := events.First + uint64(i)
		if sequence <= applied {
			continue
		}
		applied = sequence
		if event.Evicted {
			known.slot(event.Block).evict(event.Block, sequence)
			continue
		}
		known.slot(event.Block).stored(event.Block, sequence, until)
	}
	x.applied.Store(applied)
}
