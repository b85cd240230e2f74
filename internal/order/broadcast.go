package order

import "sync"

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{next: make(chan struct{})}
}

// wait returns a channel that is closed at the next change.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}
