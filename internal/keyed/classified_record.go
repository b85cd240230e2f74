package keyed

// classifiedRecord is a record with its significance.
type classifiedRecord struct {
	Record
	significance Significance
}

// classify classifies the records of a batch. Without a filter all are news.
func classify(filter RecordFilter, batch Batch) []classifiedRecord {
	if filter != nil && batch.Complete {
		filter.Reset()
	}
	classified := make([]classifiedRecord, 0, len(batch.Records))
	for _, record := range batch.Records {
		significance := News
		if filter != nil {
			significance = filter.Classify(record)
		}
		classified = append(classified, classifiedRecord{Record: record, significance: significance})
	}
	return classified
}
