package keyed

// RecordFilter finds the records that tell more than the previous ones of their keys.
type RecordFilter interface {
	// Reset forgets all records, as the topic is read anew.
	Reset()
	// Significant reports whether a record tells more than the one before of its key.
	Significant(record Record) bool
}
