package registry

import (
	"bytes"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// EntryFilter finds the entries that say something new. An endpoint writes its entry again at
// each heartbeat, mostly without a change, and most daemons need not hear of that. It implements
// keyed.RecordFilter and is not safe for concurrent use.
type EntryFilter struct {
	decode Decoder
	known  map[string]filteredEntry // by endpoint ID
}

// filteredEntry is the last entry of an endpoint that said something new.
type filteredEntry struct {
	endpoint Endpoint
	invalid  []byte // value of an entry that cannot be decoded
}

// NewEntryFilter returns a filter that has seen no entry.
func NewEntryFilter(decode Decoder) *EntryFilter {
	return &EntryFilter{decode: decode, known: map[string]filteredEntry{}}
}

// Reset implements keyed.RecordFilter.
func (f *EntryFilter) Reset() { clear(f.known) }

// Significant implements keyed.RecordFilter.
func (f *EntryFilter) Significant(record keyed.Record) bool {
	if record.Value == nil {
		delete(f.known, record.Key)
		return true
	}
	endpoint, err := f.decode(record.Key, record.Value)
	last, known := f.known[record.Key]
	if err != nil {
		f.known[record.Key] = filteredEntry{invalid: record.Value}
		return !known || !bytes.Equal(last.invalid, record.Value)
	}
	if known && last.invalid == nil && last.endpoint.Same(&endpoint) {
		return false
	}
	f.known[record.Key] = filteredEntry{endpoint: endpoint}
	return true
}
