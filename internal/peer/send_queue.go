package peer

import (
	"context"
	"sync"
)

const (
	softQueueFrames = 256
	callQueueFrames = 1024
)

// sendQueue holds the encoded frames that wait for one link. Soft state drops
// its oldest frame when full; calls are refused.
type sendQueue struct {
	calls chan []byte
	wake  chan struct{} // soft state waits

	mu   sync.Mutex
	soft [][]byte
}

func newSendQueue() *sendQueue {
	return &sendQueue{
		calls: make(chan []byte, callQueueFrames),
		wake:  make(chan struct{}, 1),
	}
}

// pushSoft adds soft state and reports whether an older frame was dropped.
func (q *sendQueue) pushSoft(data []byte) (dropped bool) {
	q.mu.Lock()
	if len(q.soft) == softQueueFrames {
		q.soft = q.soft[1:]
		dropped = true
	}
	q.soft = append(q.soft, data)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

// takeSoft removes all soft state.
func (q *sendQueue) takeSoft() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.soft
	q.soft = nil
	return taken
}

// tryPush adds a frame of a call, or fails when the queue is full.
func (q *sendQueue) tryPush(data []byte) error {
	select {
	case q.calls <- data:
		return nil
	default:
		return &QueueFullError{}
	}
}

// push adds a frame of a call, waiting for room.
func (q *sendQueue) push(ctx context.Context, data []byte) error {
	select {
	case q.calls <- data:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
