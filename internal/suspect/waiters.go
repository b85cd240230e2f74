package suspect

import "sync"

const (
	// maxWaiting is the maximum of requests of a daemon that wait to run isolated.
	maxWaiting = 1024
	// maxWaitingPerFingerprint is the same for one fingerprint, of which only one request
	// runs at a time.
	maxWaitingPerFingerprint = 32
)

// waiters counts the requests that wait to run isolated.
type waiters struct {
	mu            sync.Mutex
	byFingerprint map[uint64]int
	total         int
}

func newWaiters() *waiters { return &waiters{byFingerprint: map[uint64]int{}} }

func (w *waiters) begin(fingerprint uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.total >= maxWaiting || w.byFingerprint[fingerprint] >= maxWaitingPerFingerprint {
		return false
	}
	w.total++
	w.byFingerprint[fingerprint]++
	return true
}

func (w *waiters) end(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total--
	w.byFingerprint[fingerprint]--
	if w.byFingerprint[fingerprint] == 0 {
		delete(w.byFingerprint, fingerprint)
	}
}
