package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/wait"
)

const storeCallsLogInterval = 10 * time.Second

// storeCalls counts the calls to the store by kind and topic.
type storeCalls struct {
	set     *metrics.Set
	mu      sync.Mutex
	counter map[string]*metrics.Counter
}

func newStoreCalls(set *metrics.Set) *storeCalls {
	return &storeCalls{set: set, counter: map[string]*metrics.Counter{}}
}

func (s *storeCalls) count(call, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := call + " " + topic
	counter := s.counter[key]
	if counter == nil {
		counter = s.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_store_calls_total{call=%q,topic=%q}`, call, topic))
		s.counter[key] = counter
	}
	counter.Inc()
}

// totals returns the calls so far.
func (s *storeCalls) totals() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := map[string]uint64{}
	for key, counter := range s.counter {
		totals[key] = counter.Get()
	}
	return totals
}

// logStoreCalls logs the calls of each interval in which there were any.
func (g *Gateway) logStoreCalls(ctx context.Context) {
	logged := map[string]uint64{}
	for wait.For(ctx, storeCallsLogInterval) {
		totals := g.storeCalls.totals()
		var fields []any
		for _, key := range slices.Sorted(maps.Keys(totals)) {
			if made := totals[key] - logged[key]; made > 0 {
				fields = append(fields, key, made)
			}
		}
		if len(fields) > 0 {
			g.logger.Info("calls to the store", fields...)
		}
		logged = totals
	}
}
