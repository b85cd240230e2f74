package keyed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	mirrorRecent = 4096                    // records of a topic that are kept for readers that are a little behind
	mirrorStale  = 1500 * time.Millisecond // beside the wait of a long poll that may be in progress
)

// Mirror holds what this daemon has read of some topics, so that the other
// daemons of its data centre need not ask the store for the same. It implements
// Log for reading.
type Mirror struct {
	mu     sync.Mutex
	topics map[string]*mirrored
}

type mirrored struct {
	newest  map[string]Record
	recent  []Record // in order of their offsets
	first   uint64   // the oldest offset from which recent is whole
	end     uint64
	at      time.Time     // when the store itself was asked last, with success
	stale   time.Duration // after which that proves nothing
	changed chan struct{} // closed at the next change
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{topics: map[string]*mirrored{}} }

// Follow returns an apply function that fills the mirror before it calls apply.
// The follower reads with the pacing.
func (m *Mirror) Follow(topic string, pacing Pacing, apply func(Batch)) func(Batch) {
	return func(batch Batch) {
		m.take(topic, pacing.Wait+mirrorStale, batch)
		apply(batch)
	}
}

func (m *Mirror) take(topic string, stale time.Duration, batch Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topics[topic]
	if t == nil || batch.Whole {
		next := &mirrored{newest: map[string]Record{}, first: batch.End, stale: stale, changed: make(chan struct{})}
		if t != nil {
			close(t.changed)
		}
		t = next
		m.topics[topic] = t
	}
	for _, record := range batch.Records {
		if record.Value == nil {
			delete(t.newest, record.Key)
			continue
		}
		t.newest[record.Key] = record
	}
	t.end = max(t.end, batch.End)
	t.at = batch.Asked
	if batch.Empty() {
		return
	}
	if !batch.Whole {
		t.recent = append(t.recent, batch.Records...)
		t.trim()
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *mirrored) trim() {
	if excess := len(t.recent) - mirrorRecent; excess > 0 {
		t.first = t.recent[excess].Offset
		t.recent = slices.Clone(t.recent[excess:])
	}
}

// Newest implements Log.
func (m *Mirror) Newest(_ context.Context, topic, _ string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.fresh(topic)
	if err != nil {
		return Page{}, err
	}
	page := Page{End: t.end, Age: time.Since(t.at)}
	for _, record := range t.newest {
		page.Records = append(page.Records, record)
	}
	return page, nil
}

// Read implements Log.
func (m *Mirror) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := m.readNow(topic, from)
		if err != nil || len(page.Records) > 0 {
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
	t, err := m.fresh(topic)
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
	return Page{Records: slices.Clone(t.recent[begin:]), End: t.end, Age: time.Since(t.at)}, t.changed, nil
}

// fresh returns a topic unless this daemon itself has not read it lately.
func (m *Mirror) fresh(topic string) (*mirrored, error) {
	t := m.topics[topic]
	if t == nil || time.Since(t.at) > t.stale {
		return nil, &RefusedError{Call: "mirror of " + topic, Err: errors.ErrUnsupported}
	}
	return t, nil
}

// Append implements Log. It always fails.
func (m *Mirror) Append(context.Context, string, uint64, []Record) (uint64, error) {
	return 0, &RefusedError{Call: "mirror", Err: errors.ErrUnsupported}
}

// Put implements Log. It always fails.
func (m *Mirror) Put(context.Context, string, Record) error {
	return &RefusedError{Call: "mirror", Err: errors.ErrUnsupported}
}
