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
	// Regained is for how long the store could not be read before this call.
	Regained time.Duration
}
