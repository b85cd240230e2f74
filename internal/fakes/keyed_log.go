package fakes

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// KeyedLog is a store of topics in memory, with fault switches. It implements
// keyed.Log.
type KeyedLog struct {
	mu      sync.Mutex
	topics  map[string]*keyedTopic
	down    bool
	lost    bool // appends are carried out and not answered
	deaf    bool // long polls are not woken by what is added
	calls   int
	changed chan struct{}
}

type keyedTopic struct {
	records []keyed.Record // from offset first on
	first   uint64
	end     uint64
	newest  map[string]keyed.Record
}

// NewKeyedLog returns an empty store.
func NewKeyedLog() *KeyedLog {
	return &KeyedLog{topics: map[string]*keyedTopic{}, changed: make(chan struct{})}
}

// SetDown makes every call fail, or serves again.
func (l *KeyedLog) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// SetDeaf makes long polls last their whole time whatever is added, as when the
// history is dropped under them.
func (l *KeyedLog) SetDeaf(deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaf = deaf
}

// SetLost makes appends take effect without an answer.
func (l *KeyedLog) SetLost(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
}

// Compact deletes all records but the newest of each key.
func (l *KeyedLog) Compact(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	t.records = nil
	t.first = t.end
}

// Calls returns how many calls were made.
func (l *KeyedLog) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Newest implements keyed.Log.
func (l *KeyedLog) Newest(_ context.Context, topic, _ string) (keyed.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin("newest"); err != nil {
		return keyed.Page{}, err
	}
	t := l.topic(topic)
	page := keyed.Page{End: t.end}
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
			return page, &keyed.LostError{Call: "read", Err: ctx.Err()}
		}
	}
}

func (l *KeyedLog) readNow(topic string, from uint64) (keyed.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin("read"); err != nil {
		return keyed.Page{}, nil, err
	}
	t := l.topic(topic)
	if from < t.first {
		return keyed.Page{}, nil, &keyed.ExpiredError{Topic: topic, First: t.first}
	}
	page := keyed.Page{End: t.end}
	if from < t.end {
		page.Records = append(page.Records, t.records[from-t.first:]...)
	}
	return page, l.changed, nil
}

// Append implements keyed.Log.
func (l *KeyedLog) Append(_ context.Context, topic string, at uint64, records []keyed.Record) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin("append"); err != nil {
		return 0, err
	}
	t := l.topic(topic)
	if t.end != at {
		return 0, &keyed.ConflictError{Topic: topic, End: t.end}
	}
	l.add(t, records)
	if l.lost {
		return 0, &keyed.LostError{Call: "append", Err: errors.ErrUnsupported}
	}
	return at, nil
}

// Put implements keyed.Log.
func (l *KeyedLog) Put(_ context.Context, topic string, record keyed.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin("put"); err != nil {
		return err
	}
	l.add(l.topic(topic), []keyed.Record{record})
	return nil
}

func (l *KeyedLog) add(t *keyedTopic, records []keyed.Record) {
	for _, record := range records {
		record.Offset = t.end
		t.end++
		t.records = append(t.records, record)
		if record.Value == nil {
			delete(t.newest, record.Key)
			continue
		}
		t.newest[record.Key] = record
	}
	l.wake()
}

func (l *KeyedLog) begin(call string) error {
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

func (l *KeyedLog) wake() {
	if l.deaf {
		return
	}
	close(l.changed)
	l.changed = make(chan struct{})
}
