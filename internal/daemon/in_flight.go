package daemon

import (
	"net/http"
	"sync"
)

// inFlight counts the requests in progress that began before the daemon refused
// new ones. While the daemon drains, each response closes its connection, so
// that clients connect to another daemon.
type inFlight struct {
	next http.Handler

	mu       sync.Mutex
	draining bool
	refusing bool
	count    int
	done     chan struct{} // closed when the last counted request ends after refuse
}

func newInFlight(next http.Handler) *inFlight {
	return &inFlight{next: next, done: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (f *inFlight) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	draining, counted := f.begin()
	if draining {
		w.Header().Set("Connection", "close")
	}
	if counted {
		defer f.end()
	}
	f.next.ServeHTTP(w, r)
}

func (f *inFlight) begin() (draining, counted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusing {
		return true, false
	}
	f.count++
	return f.draining, true
}

// remaining returns the number of counted requests that have not ended.
func (f *inFlight) remaining() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.refusing && f.count == 0 {
		close(f.done)
	}
}

// drain makes each further response close its connection.
func (f *inFlight) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
}

// refuse stops counting new requests and returns a channel that is closed when
// the counted ones have ended. It is called once, when the daemon starts to
// refuse new requests.
func (f *inFlight) refuse() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = true
	if f.count == 0 {
		close(f.done)
	}
	return f.done
}
