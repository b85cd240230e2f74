package keyed

import "time"

// Page is a part of a topic.
type Page struct {
	Records []Record
	End     uint64 // offset after the topic's last record
	More    bool   // of the newest records: there are keys after the last one
	// Age is how long ago the store itself was asked, where another daemon tells
	// what it has read.
	Age time.Duration
}
