package peer

import "sync"

// outgoingTable holds the calls in progress that this daemon made on one link.
type outgoingTable struct {
	mu     sync.Mutex
	closed error
	lastID uint64
	calls  map[uint64]*outgoingCall
}

func newOutgoingTable() *outgoingTable {
	return &outgoingTable{calls: map[uint64]*outgoingCall{}}
}

// add registers a call and returns its id. It fails once the link is closed.
func (t *outgoingTable) add(call *outgoingCall) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed != nil {
		return 0, t.closed
	}
	t.lastID++
	t.calls[t.lastID] = call
	return t.lastID, nil
}

// remove removes a call and returns it, or nil if it has ended.
func (t *outgoingTable) remove(id uint64) *outgoingCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	call := t.calls[id]
	delete(t.calls, id)
	return call
}

func (t *outgoingTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// deliver passes a frame to its call. A frame whose call no longer exists is
// dropped.
func (t *outgoingTable) deliver(l *link, f frame) {
	t.mu.Lock()
	call, ok := t.calls[f.ID]
	if ok && (f.Kind == frameEnd || f.Kind == frameFailure) {
		delete(t.calls, f.ID)
	}
	t.mu.Unlock()
	if !ok {
		l.network.counters.strayFrames.Inc()
		return
	}
	call.deliver(l, f)
}

// failAll ends every call with err and makes add fail with it.
func (t *outgoingTable) failAll(err error) {
	t.mu.Lock()
	calls := t.calls
	t.calls = map[uint64]*outgoingCall{}
	t.closed = err
	t.mu.Unlock()
	for _, call := range calls {
		call.end(err)
	}
}
