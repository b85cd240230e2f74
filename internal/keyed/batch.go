package keyed

import "time"

// Batch is the result of one read by a Follower.
type Batch struct {
	Records []Record
	// Complete is set if Records holds the newest record of every key in the topic: a key
	// that is not in it has been deleted.
	Complete bool
	End      uint64 // offset up to which the follower has read
	Era      uint64 // era of the store, see Position
	// Restored is set if the store has come back from an older copy since the previous batch.
	// Records is then the content of the copy: what the store forgot is missing or older.
	Restored    bool
	StartedAt   time.Time // start of the call
	StoreReadAt time.Time // when the store itself was read, by this daemon or by the daemon that forwarded the records
	// OutageDuration is the length of the outage that this call ended, 0 if there was none.
	OutageDuration time.Duration
}

// Empty reports whether the call brought neither changes nor the end of an outage.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && !b.Complete && b.OutageDuration == 0
}
