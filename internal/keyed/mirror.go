package keyed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	mirrorMaxRecent = 4096                    // records of a topic that are retained for readers that lag behind
	mirrorMaxAge    = 1500 * time.Millisecond // added to the wait of a long poll that may be in progress
)

// Mirror caches the topics that this daemon follows, so that the other daemons of its
// data centre can read them here instead of from the store. It implements the read
// methods of Log.
type Mirror struct {
	mu     sync.Mutex
	topics map[string]*mirroredTopic
}

type mirroredTopic struct {
	newest      map[string]Record
	withheld    map[string]bool // keys whose newest record is a repeat, which is not among the recent ones
	recent      []Record        // ordered by offset
	first       uint64          // offset from which on recent is complete
	end         uint64
	era         uint64        // of the store
	confirmedAt time.Time     // last time at which the store itself was read successfully
	maxAge      time.Duration // time after confirmedAt for which the topic may be served
	changed     chan struct{} // closed at the next change
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{topics: map[string]*mirroredTopic{}} }

// Follow returns an apply function for a Follower that updates the mirror before it calls
// apply. pacing is the follower's pacing. filter says which records are passed on; a nil filter
// passes all.
func (m *Mirror) Follow(topic string, pacing Pacing, filter RecordFilter, apply func(Batch)) func(Batch) {
	return func(batch Batch) {
		m.store(topic, pacing.Wait+mirrorMaxAge, classify(filter, batch), batch)
		apply(batch)
	}
}

func (m *Mirror) store(topic string, maxAge time.Duration, records []classifiedRecord, batch Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topics[topic]
	var replaced map[string]Record
	if t == nil || batch.Complete {
		replacement := &mirroredTopic{newest: map[string]Record{}, withheld: map[string]bool{}, first: batch.End, era: batch.Era, maxAge: maxAge, changed: make(chan struct{})}
		if t != nil {
			close(t.changed)
			replaced = t.newest
		}
		t = replacement
		m.topics[topic] = t
	}
	changed := batch.Complete
	for _, record := range records {
		if later, known := replaced[record.Key]; known && record.significance == Outdated {
			t.newest[record.Key] = later
			continue
		}
		changed = t.put(record, !batch.Complete) || changed
	}
	t.end = max(t.end, batch.End)
	t.confirmedAt = batch.StoreReadAt
	if !changed {
		return
	}
	t.trim()
	close(t.changed)
	t.changed = make(chan struct{})
}

// put stores a record and reports whether it is news. News are retained for waiting readers if retain is
// set. A repeat that these were spared precedes its deletion: it tells them which of the records that come
// later were written before it.
func (t *mirroredTopic) put(record classifiedRecord, retain bool) (news bool) {
	if record.significance == Outdated {
		return false
	}
	last := t.newest[record.Key]
	if record.Value == nil {
		delete(t.newest, record.Key)
	} else {
		t.newest[record.Key] = record.Record
	}
	if record.significance == Repeat {
		t.withheld[record.Key] = true
		return false
	}
	if retain && record.Value == nil && t.withheld[record.Key] {
		t.recent = append(t.recent, Record{Key: last.Key, Value: last.Value, Offset: record.Offset})
	}
	delete(t.withheld, record.Key)
	if retain {
		t.recent = append(t.recent, record.Record)
	}
	return true
}

func (t *mirroredTopic) trim() {
	if excess := len(t.recent) - mirrorMaxRecent; excess > 0 {
		t.first = t.recent[excess].Offset
		t.recent = slices.Clone(t.recent[excess:])
	}
}

// Newest implements Log.
func (m *Mirror) Newest(_ context.Context, topic, _ string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.freshTopic(topic)
	if err != nil {
		return Page{}, err
	}
	page := Page{End: t.end, Era: t.era, Age: time.Since(t.confirmedAt)}
	for _, record := range t.newest {
		page.Records = append(page.Records, record)
	}
	return page, nil
}

// Read implements Log. It also returns, without records, when the store has come back from a
// copy: the records that the caller waits for may never come.
func (m *Mirror) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	first, _, _ := m.readNow(topic, from) // a failure recurs in the loop
	for {
		page, changed, err := m.readNow(topic, from)
		if err != nil || len(page.Records) > 0 || page.Era != first.Era {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			page, _, err = m.readNow(topic, from)
			return page, err
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (m *Mirror) readNow(topic string, from uint64) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.freshTopic(topic)
	if err != nil {
		return Page{}, nil, err
	}
	if from < t.first {
		return Page{}, nil, &ExpiredError{Topic: topic, First: t.first}
	}
	begin, _ := slices.BinarySearchFunc(t.recent, from, func(r Record, offset uint64) int {
		switch {
		case r.Offset < offset:
			return -1
		case r.Offset > offset:
			return 1
		default:
			return 0
		}
	})
	return Page{Records: slices.Clone(t.recent[begin:]), End: t.end, Next: t.end, Era: t.era, Age: time.Since(t.confirmedAt)}, t.changed, nil
}

// freshTopic returns a topic. It returns a RefusedError if the topic was not read within
// its maximum age.
func (m *Mirror) freshTopic(topic string) (*mirroredTopic, error) {
	t := m.topics[topic]
	if t == nil || time.Since(t.confirmedAt) > t.maxAge {
		return nil, &RefusedError{Call: "mirror of " + topic, Err: errors.ErrUnsupported}
	}
	return t, nil
}

// Append implements Log. It always fails.
func (m *Mirror) Append(context.Context, string, uint64, []Record) (Position, error) {
	return Position{}, &RefusedError{Call: "mirror", Err: errors.ErrUnsupported}
}

// Put implements Log. It always fails.
func (m *Mirror) Put(context.Context, string, Record) error {
	return &RefusedError{Call: "mirror", Err: errors.ErrUnsupported}
}
