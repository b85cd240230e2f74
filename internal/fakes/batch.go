package fakes

import (
	"slices"
	"sync"
)

// batch bounds the number of requests that an engine runs concurrently. Others
// wait in a queue, ordered by priority, highest first, then by arrival.
type batch struct {
	mu      sync.Mutex
	free    int // places in the batch
	waiting []*batchEntry
}

// batchEntry is a request in the batch or in its queue.
type batchEntry struct {
	priority int
	entered  chan struct{} // closed when the request enters the batch
}

func newBatch(size int) *batch { return &batch{free: size} }

// enqueue adds a request to the queue and starts it at once if there is a free
// place.
func (b *batch) enqueue(priority int) *batchEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := &batchEntry{priority: priority, entered: make(chan struct{})}
	index := slices.IndexFunc(b.waiting, func(other *batchEntry) bool { return other.priority < priority })
	if index < 0 {
		index = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, index, entry)
	b.fill()
	return entry
}

// remove removes a request from the batch or from the queue.
func (b *batch) remove(entry *batchEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, entry); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	b.free++
	b.fill()
}

// fill moves requests from the queue into the free places. The caller holds mu.
func (b *batch) fill() {
	for b.free > 0 && len(b.waiting) > 0 {
		close(b.waiting[0].entered)
		b.waiting = b.waiting[1:]
		b.free--
	}
}
