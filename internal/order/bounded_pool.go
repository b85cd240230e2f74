package order

import "github.com/alitto/pond/v2"

// boundedPool runs tasks on a bounded number of workers. It rejects a task when all
// workers are busy.
type boundedPool struct {
	pool  pond.Pool
	inUse chan struct{} // one element for each accepted task that has not ended
}

func newBoundedPool(workers int) *boundedPool {
	return &boundedPool{
		// A task leaves inUse shortly before its pond worker is free, so the
		// next accepted task may have to queue for a moment.
		pool:  pond.NewPool(workers, pond.WithNonBlocking(true), pond.WithQueueSize(workers)),
		inUse: make(chan struct{}, workers),
	}
}

// trySubmit starts a task and reports whether a worker was free for it.
func (p *boundedPool) trySubmit(task func()) bool {
	select {
	case p.inUse <- struct{}{}:
	default:
		return false
	}
	_, taken := p.pool.TrySubmit(func() {
		defer p.release()
		task()
	})
	if !taken {
		p.release()
	}
	return taken
}

func (p *boundedPool) release() { <-p.inUse }

// running returns the number of tasks that have not ended.
func (p *boundedPool) running() int { return len(p.inUse) }

// stop rejects further tasks and returns a channel that is closed when all
// accepted tasks have ended.
func (p *boundedPool) stop() <-chan struct{} { return p.pool.Stop().Done() }
