package promptcache

import (
	"sync/atomic"
	"time"
)

// slot holds one block that is probably cached. The fields are written separately, so a
// reader may see the block of one write with the sequence or expiry of another. That
// makes a hint wrong, which is harmless.
type slot struct {
	block     atomic.Uint64
	sequence  atomic.Uint64 // events up to this number are older than the entry
	expiresAt atomic.Int64  // Unix nanoseconds at which the entry expires
}

func (s *slot) put(block, sequence uint64, expiry time.Time) {
	s.block.Store(block)
	s.sequence.Store(sequence)
	s.expiresAt.Store(expiry.UnixNano())
}

func (s *slot) holds(block uint64, now time.Time) bool {
	return s.block.Load() == block && now.UnixNano() < s.expiresAt.Load()
}

// evict removes the block unless its entry is newer than the event.
func (s *slot) evict(block, sequence uint64) {
	if s.block.Load() == block && s.sequence.Load() < sequence {
		s.expiresAt.Store(0)
	}
}

// store records the block unless its entry is newer than the event.
func (s *slot) store(block, sequence uint64, expiry time.Time) {
	if s.block.Load() == block && s.sequence.Load() >= sequence {
		return
	}
	s.put(block, sequence, expiry)
}
