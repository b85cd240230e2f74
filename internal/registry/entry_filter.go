package registry

import (
	"bytes"
	"maps"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// EntryFilter finds the entries that say something new. An endpoint writes its entry again at
// each heartbeat, mostly without a change, and most daemons need not hear of that. Nor must they
// of an entry that the store carries out after a later one. It implements keyed.RecordFilter and
// is not safe for concurrent use.
type EntryFilter struct {
	decode Decoder
	known  map[string]filteredEntry // by endpoint ID
	latest map[string]lastEntry     // by endpoint ID, also of removed ones
}

// filteredEntry is the last entry of an endpoint that said something new.
type filteredEntry struct {
	endpoint Endpoint
	invalid  []byte // value of an entry that cannot be decoded
}

// NewEntryFilter returns a filter that has seen no entry.
func NewEntryFilter(decode Decoder) *EntryFilter {
	return &EntryFilter{decode: decode, known: map[string]filteredEntry{}, latest: map[string]lastEntry{}}
}

// Reset implements keyed.RecordFilter. It is still known which entries are the latest.
func (f *EntryFilter) Reset() { clear(f.known) }

// Classify implements keyed.RecordFilter.
func (f *EntryFilter) Classify(record keyed.Record) keyed.Significance {
	now := time.Now()
	if record.Value == nil {
		f.remove(record.Key, now)
		return keyed.News
	}
	endpoint, err := f.decode(record.Key, record.Value)
	last, known := f.known[record.Key]
	if err != nil {
		f.known[record.Key] = filteredEntry{invalid: record.Value}
		return significance(!known || !bytes.Equal(last.invalid, record.Value))
	}
	if latest, ok := f.latest[record.Key]; ok && latest.supersedes(&endpoint, now) {
		return keyed.Outdated
	}
	f.latest[record.Key] = lastEntry{incarnation: endpoint.Incarnation, sequence: endpoint.Sequence, knownAt: now}
	if known && last.invalid == nil && last.endpoint.Same(&endpoint) {
		return keyed.Repeat
	}
	f.known[record.Key] = filteredEntry{endpoint: endpoint}
	return keyed.News
}

// remove records that an entry has been removed, and forgets endpoints that have not been heard of for long.
func (f *EntryFilter) remove(id string, now time.Time) {
	delete(f.known, id)
	if latest, ok := f.latest[id]; ok && !latest.removed {
		latest.removed, latest.knownAt = true, now
		f.latest[id] = latest
	}
	maps.DeleteFunc(f.latest, func(_ string, e lastEntry) bool { return now.Sub(e.knownAt) > departedRetention })
}

func significance(news bool) keyed.Significance {
	if news {
		return keyed.News
	}
	return keyed.Repeat
}
