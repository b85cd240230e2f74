package relay

import (
	"context"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
)

const (
	cancelWorkers = 16
	cancelQueue   = 1024
)

// canceller asks endpoints to cancel attempts, outside the request path.
type canceller struct {
	engine  endpoint.Engine
	pool    pond.Pool
	metrics *metric.Set
}

func newCanceller(engine endpoint.Engine, metrics *metric.Set) *canceller {
	return &canceller{
		engine:  engine,
		pool:    pond.NewPool(cancelWorkers, pond.WithQueueSize(cancelQueue), pond.WithNonBlocking(true)),
		metrics: metrics,
	}
}

// cancel never blocks. If the queue is full, no cancellation is sent and the attempt
// runs to its end.
func (c *canceller) cancel(address, attempt string) {
	c.metrics.Cancelled()
	_ = c.pool.Go(func() { _ = c.engine.Cancel(context.Background(), address, attempt) })
}
