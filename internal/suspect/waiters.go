package suspect

import "sync"

const (
	// maxWaiting bounds the requests of a daemon that wait to run alone.
	maxWaiting = 1024
	// maxCopies bounds those of one fingerprint: only one runs at a time.
	maxCopies = 32
)

// waiters counts the requests that wait to run alone.
type waiters struct {
	mu     sync.Mutex
	copies map[uint64]int
	total  int
}

func newWaiters() *waiters { return &waiters{copies: map[uint64]int{}} }

func (w *waiters) begin(fingerprint uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.total >= maxWaiting || w.copies[fingerprint] >= maxCopies {
		return false
	}
	w.total++
	w.copies[fingerprint]++
	return true
}

func (w *waiters) end(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total--
	w.copies[fingerprint]--
	if w.copies[fingerprint] == 0 {
		delete(w.copies, fingerprint)
	}
}
