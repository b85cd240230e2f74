package keyed

import "time"

// Batch is the result of one read by a Follower.
type Batch struct {
	Records []Record
	// Whole is set if Records holds the newest record of every key in the topic: a key
	// that is not in it has been deleted.
	Whole bool
	End   uint64    // offset up to which the follower has read
	At    time.Time // start of the call
	Asked time.Time // when the store itself was read, by this daemon or by the daemon that forwarded the records
	// Regained is the length of the outage that this call ended, 0 if there was none.
	Regained time.Duration
}

// Empty reports whether the call brought neither changes nor the end of an outage.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && !b.Whole && b.Regained == 0
}
