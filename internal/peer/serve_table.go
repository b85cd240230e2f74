package peer

import (
	"context"
	"sync"
)

// serveTable holds the calls that the other daemon made on one link.
type serveTable struct {
	mu    sync.Mutex
	calls map[uint64]*incoming
}

func newServeTable() *serveTable {
	return &serveTable{calls: map[uint64]*incoming{}}
}

// begin registers a call. It fails when the id is in use.
func (t *serveTable) begin(ctx context.Context, id uint64) (*incoming, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, used := t.calls[id]; used {
		return nil, false
	}
	call := &incoming{credit: make(chan struct{}, streamWindow)}
	call.ctx, call.cancel = context.WithCancel(ctx)
	call.addCredit(streamWindow)
	t.calls[id] = call
	return call, true
}

func (t *serveTable) end(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[id]; ok {
		call.cancel()
		delete(t.calls, id)
	}
}

func (t *serveTable) cancel(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[id]; ok {
		call.cancel()
	}
}

func (t *serveTable) addCredit(id uint64, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[id]; ok {
		call.addCredit(count)
	}
}

func (t *serveTable) cancelAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, call := range t.calls {
		call.cancel()
	}
}

func (t *serveTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
