package peer

import (
	"context"
	"sync"
)

// incomingTable holds the calls in progress that the other daemon made on one
// link.
type incomingTable struct {
	mu    sync.Mutex
	calls map[uint64]*incomingCall
}

func newIncomingTable() *incomingTable {
	return &incomingTable{calls: map[uint64]*incomingCall{}}
}

// begin registers a call. It fails if the id is in use.
func (t *incomingTable) begin(ctx context.Context, id uint64) (*incomingCall, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, used := t.calls[id]; used {
		return nil, false
	}
	call := &incomingCall{credit: make(chan struct{}, streamWindow)}
	call.ctx, call.cancel = context.WithCancel(ctx)
	call.addCredit(streamWindow)
	t.calls[id] = call
	return call, true
}

func (t *incomingTable) end(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[id]; ok {
		call.cancel()
		delete(t.calls, id)
	}
}

func (t *incomingTable) cancel(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[id]; ok {
		call.cancel()
	}
}

func (t *incomingTable) addCredit(id uint64, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[id]; ok {
		call.addCredit(count)
	}
}

func (t *incomingTable) cancelAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, call := range t.calls {
		call.cancel()
	}
}

func (t *incomingTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
