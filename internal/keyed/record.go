package keyed

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}
