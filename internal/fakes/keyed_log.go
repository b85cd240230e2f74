package fakes

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// KeyedLog is an in-memory store of topics with fault injection. It implements
// keyed.Log.
type KeyedLog struct {
	mu           sync.Mutex
	topics       map[string]*keyedTopic
	down         bool          // every call is refused
	dropAnswers  bool          // appends take effect but return an error
	suppressWake bool          // appends do not wake long polls
	era          uint64        // number of restores
	calls        int           // calls so far, with the refused ones
	changed      chan struct{} // closed and replaced by notify
}

// keyedTopic is one topic. Records below first are compacted.
type keyedTopic struct {
	history []keyed.Record          // all records, from offset 0 on
	records []keyed.Record          // retained records, from offset first on
	first   uint64                  // offset of the first retained record
	end     uint64                  // offset of the next record
	newest  map[string]keyed.Record // newest record by key
}

// NewKeyedLog returns an empty store.
func NewKeyedLog() *KeyedLog {
	return &KeyedLog{topics: map[string]*keyedTopic{}, changed: make(chan struct{})}
}

// SetDown makes every call fail while down is true.
func (l *KeyedLog) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notify()
}

// SetDeaf makes long polls run to their time limit although records are appended,
// as happens when compaction removes the records that they wait for.
func (l *KeyedLog) SetDeaf(deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suppressWake = deaf
}

// SetLost makes appends take effect but fail with a keyed.UnknownOutcomeError.
func (l *KeyedLog) SetLost(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAnswers = lost
}

// Compact deletes all records of a topic; only the newest of each key stay
// available through Newest.
func (l *KeyedLog) Compact(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	t.records = nil
	t.first = t.end
}

// Restore makes the store come back from a copy that lacks the last records of the named
// topics, or of all topics if none is named.
func (l *KeyedLog) Restore(lost int, topics ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for name, t := range l.topics {
		if len(topics) == 0 || slices.Contains(topics, name) {
			l.topics[name] = t.withoutLast(lost)
		}
	}
	l.notify()
}

// withoutLast returns the topic as it was before its last records were appended.
func (t *keyedTopic) withoutLast(lost int) *keyedTopic {
	kept := t.history[:max(0, len(t.history)-lost)]
	older := &keyedTopic{newest: map[string]keyed.Record{}}
	for _, record := range kept {
		older.add(record)
	}
	older.first = min(t.first, older.end)
	older.records = slices.Clone(older.records[older.first:])
	return older
}

// Era returns the number of restores so far.
func (l *KeyedLog) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// Calls returns the number of calls so far, with the refused ones.
func (l *KeyedLog) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Newest implements keyed.Log.
func (l *KeyedLog) Newest(_ context.Context, topic, _ string) (keyed.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall("newest"); err != nil {
		return keyed.Page{}, err
	}
	t := l.topic(topic)
	page := keyed.Page{End: t.end, Era: l.era}
	for _, record := range t.newest {
		page.Records = append(page.Records, record)
	}
	return page, nil
}

// Read implements keyed.Log.
func (l *KeyedLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.readNow(topic, from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, &keyed.UnknownOutcomeError{Call: "read", Err: ctx.Err()}
		}
	}
}

// readNow returns the records from an offset on, and a channel that is closed at
// the next append.
func (l *KeyedLog) readNow(topic string, from uint64) (keyed.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall("read"); err != nil {
		return keyed.Page{}, nil, err
	}
	t := l.topic(topic)
	if from < t.first || from > t.end {
		return keyed.Page{}, nil, &keyed.ExpiredError{Topic: topic, First: t.first}
	}
	page := keyed.Page{End: t.end, Era: l.era}
	if from < t.end {
		page.Records = append(page.Records, t.records[from-t.first:]...)
	}
	return page, l.changed, nil
}

// Append implements keyed.Log.
func (l *KeyedLog) Append(_ context.Context, topic string, at uint64, records []keyed.Record) (keyed.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall("append"); err != nil {
		return keyed.Position{}, err
	}
	t := l.topic(topic)
	if t.end != at {
		return keyed.Position{}, &keyed.ConflictError{Topic: topic, End: t.end}
	}
	l.appendRecords(t, records)
	if l.dropAnswers {
		return keyed.Position{}, &keyed.UnknownOutcomeError{Call: "append", Err: errors.ErrUnsupported}
	}
	return keyed.Position{Era: l.era, Offset: at}, nil
}

// Put implements keyed.Log.
func (l *KeyedLog) Put(_ context.Context, topic string, record keyed.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall("put"); err != nil {
		return err
	}
	l.appendRecords(l.topic(topic), []keyed.Record{record})
	return nil
}

// appendRecords adds records to a topic; a nil value deletes its key from the
// newest records. The caller holds mu.
func (l *KeyedLog) appendRecords(t *keyedTopic, records []keyed.Record) {
	for _, record := range records {
		t.add(record)
	}
	l.notify()
}

func (t *keyedTopic) add(record keyed.Record) {
	record.Offset = t.end
	t.end++
	t.history = append(t.history, record)
	t.records = append(t.records, record)
	if record.Value == nil {
		delete(t.newest, record.Key)
		return
	}
	t.newest[record.Key] = record
}

// startCall counts a call and fails it if the store is down. The caller holds mu.
func (l *KeyedLog) startCall(call string) error {
	l.calls++
	if l.down {
		return &keyed.RefusedError{Call: call, Status: 503, Err: errors.ErrUnsupported}
	}
	return nil
}

func (l *KeyedLog) topic(name string) *keyedTopic {
	t := l.topics[name]
	if t == nil {
		t = &keyedTopic{newest: map[string]keyed.Record{}}
		l.topics[name] = t
	}
	return t
}

// notify wakes the long polls. The caller holds mu.
func (l *KeyedLog) notify() {
	if l.suppressWake {
		return
	}
	close(l.changed)
	l.changed = make(chan struct{})
}
