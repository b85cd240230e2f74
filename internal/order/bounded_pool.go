package order

import "github.com/alitto/pond/v2"

// boundedPool runs tasks on a bounded number of workers and takes none that
// would have to wait for one.
type boundedPool struct {
	pool pond.Pool
	busy chan struct{} // one for each task that was taken and has not ended
}

func newBoundedPool(workers int) *boundedPool {
	return &boundedPool{
		// The queue holds the tasks whose worker is about to return.
		pool: pond.NewPool(workers, pond.WithNonBlocking(true), pond.WithQueueSize(workers)),
		busy: make(chan struct{}, workers),
	}
}

// try starts a task, or reports that there is no worker for it.
func (p *boundedPool) try(task func()) bool {
	select {
	case p.busy <- struct{}{}:
	default:
		return false
	}
	_, taken := p.pool.TrySubmit(func() {
		defer p.leave()
		task()
	})
	if !taken {
		p.leave()
	}
	return taken
}

func (p *boundedPool) leave() { <-p.busy }

// running returns the number of tasks that have not ended.
func (p *boundedPool) running() int { return len(p.busy) }

// stop takes no more tasks and returns a channel that is closed when all have
// ended.
func (p *boundedPool) stop() <-chan struct{} { return p.pool.Stop().Done() }
