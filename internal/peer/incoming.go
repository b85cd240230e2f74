package peer

import "context"

// incoming is one call that another daemon made.
type incoming struct {
	ctx    context.Context
	cancel context.CancelFunc
	credit chan struct{} // one token for each answer that the caller takes
}

// takeCredit waits until the caller takes another answer.
func (i *incoming) takeCredit() error {
	select {
	case <-i.credit:
		return nil
	case <-i.ctx.Done():
		return i.ctx.Err()
	}
}

// addCredit must not block: credit beyond the window is dropped.
func (i *incoming) addCredit(count int) {
	for range min(count, streamWindow) {
		select {
		case i.credit <- struct{}{}:
		default:
			return
		}
	}
}
