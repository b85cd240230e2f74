package ledger

// State is the content of the ledger up to an offset. It is immutable.
type State struct {
	Groups map[string]*Record // by name
	End    uint64             // offset after the last record
}

// RecordOfMember returns the record that grants an endpoint to a group, nil if
// there is none.
func (s *State) RecordOfMember(id string) *Record {
	for _, record := range s.Groups {
		if record.Has(id) {
			return record
		}
	}
	return nil
}
