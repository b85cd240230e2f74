package keyed

// Page is a part of a topic.
type Page struct {
	Records []Record
	End     uint64 // offset after the topic's last record
	More    bool   // of the newest records: there are keys after the last one
}
