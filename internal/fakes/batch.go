package fakes

import (
	"slices"
	"sync"
)

// batch holds the requests that an engine runs at once, and those that wait: the
// highest priority first, and of one priority the one that came first.
type batch struct {
	mu      sync.Mutex
	free    int
	waiting []*batchPlace
}

// batchPlace is a request that waits for a batch.
type batchPlace struct {
	priority int
	entered  chan struct{} // closed once it is in the batch
}

func newBatch(size int) *batch { return &batch{free: size} }

func (b *batch) queue(priority int) *batchPlace {
	b.mu.Lock()
	defer b.mu.Unlock()
	place := &batchPlace{priority: priority, entered: make(chan struct{})}
	behind := slices.IndexFunc(b.waiting, func(other *batchPlace) bool { return other.priority < priority })
	if behind < 0 {
		behind = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, behind, place)
	b.fill()
	return place
}

// leave takes a request out of the batch or of the queue.
func (b *batch) leave(place *batchPlace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, place); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	b.free++
	b.fill()
}

func (b *batch) fill() {
	for b.free > 0 && len(b.waiting) > 0 {
		close(b.waiting[0].entered)
		b.waiting = b.waiting[1:]
		b.free--
	}
}
