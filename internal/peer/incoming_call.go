package peer

import "context"

// incomingCall is a call made by another daemon.
type incomingCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	credit chan struct{} // one token for each answer that the caller accepts
}

// takeCredit waits until the caller accepts another answer.
func (i *incomingCall) takeCredit() error {
	select {
	case <-i.credit:
		return nil
	case <-i.ctx.Done():
		return i.ctx.Err()
	}
}

// addCredit adds credit without blocking. Credit beyond the window is dropped.
func (i *incomingCall) addCredit(count int) {
	for range min(count, streamWindow) {
		select {
		case i.credit <- struct{}{}:
		default:
			return
		}
	}
}
