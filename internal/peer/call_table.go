package peer

import "sync"

// callTable holds the calls that this daemon made on one link.
type callTable struct {
	mu     sync.Mutex
	closed error
	last   uint64
	calls  map[uint64]*outgoing
}

func newCallTable() *callTable {
	return &callTable{calls: map[uint64]*outgoing{}}
}

// add registers a call and returns its id.
func (t *callTable) add(call *outgoing) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed != nil {
		return 0, t.closed
	}
	t.last++
	t.calls[t.last] = call
	return t.last, nil
}

func (t *callTable) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, id)
}

func (t *callTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// deliver passes a frame to its call. A frame of a call that is gone is
// dropped.
func (t *callTable) deliver(l *link, f frame) {
	t.mu.Lock()
	call, ok := t.calls[f.ID]
	if ok && (f.Kind == frameEnd || f.Kind == frameFailure) {
		delete(t.calls, f.ID)
	}
	t.mu.Unlock()
	if !ok {
		l.owner.counters.strayFrames.Inc()
		return
	}
	call.deliver(l, f)
}

// failAll ends every call and refuses further ones.
func (t *callTable) failAll(err error) {
	t.mu.Lock()
	calls := t.calls
	t.calls = map[uint64]*outgoing{}
	t.closed = err
	t.mu.Unlock()
	for _, call := range calls {
		call.fail(err)
	}
}
