package keyed

// RecordFilter compares the records of a topic with the previous ones of their keys.
type RecordFilter interface {
	// Reset forgets the records, as the topic is read anew.
	Reset()
	// Classify says what a record tells beyond the previous ones of its key.
	Classify(record Record) Significance
}
