package keyed

import "time"

// Batch is what a follower learnt with one call.
type Batch struct {
	Records []Record
	// Whole says that the records are the whole topic: a key that is not among
	// them is gone.
	Whole bool
	End   uint64    // offset up to which the follower has read
	At    time.Time // when the call began
	Asked time.Time // when the store itself was asked, by this daemon or by the one that told
	// Regained is for how long the store could not be read before this call.
	Regained time.Duration
}

// Empty reports whether the call told no more than that nothing has changed.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && !b.Whole && b.Regained == 0
}
