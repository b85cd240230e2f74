package keyed

import "time"

// Page is a range of the records of a topic.
type Page struct {
	Records []Record
	End     uint64 // offset after the topic's last record
	Era     uint64 // era of the store, see Position
	// Next is the offset to continue a Read from if it is beyond the last record: the records
	// between them hold nothing that a follower needs. 0 if there are none.
	Next uint64
	More bool // for Newest: further keys follow the last record
	// Age is the time since the store itself was read, if the page comes from another
	// daemon's mirror.
	Age time.Duration
}
