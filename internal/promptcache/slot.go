package promptcache

import (
	"sync/atomic"
	"time"
)

// slot holds one block that an engine probably caches. Readers may see the
// block of one write with the times of another: that costs a hint, no more.
type slot struct {
	block    atomic.Uint64
	sequence atomic.Uint64 // events up to this one are older than the slot
	until    atomic.Int64  // Unix nanoseconds at which the slot has aged out
}

func (s *slot) put(block, sequence uint64, until time.Time) {
	s.block.Store(block)
	s.sequence.Store(sequence)
	s.until.Store(until.UnixNano())
}

func (s *slot) holds(block uint64, now time.Time) bool {
	return s.block.Load() == block && now.UnixNano() < s.until.Load()
}

// evict drops the block unless something newer than the event stored it.
func (s *slot) evict(block, sequence uint64) {
	if s.block.Load() == block && s.sequence.Load() < sequence {
		s.until.Store(0)
	}
}

// stored notes a block unless something newer than the event did.
func (s *slot) stored(block, sequence uint64, until time.Time) {
	if s.block.Load() == block && s.sequence.Load() >= sequence {
		return
	}
	s.put(block, sequence, until)
}
