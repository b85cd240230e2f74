package reconcile

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/view"
)

// loopMetrics holds the metrics of a reconcile loop.
type loopMetrics struct {
	set         *metric.Set
	planSeconds *metrics.Histogram

	mu     sync.Mutex
	groups map[group.Condition]int
}

func newLoopMetrics(set *metric.Set) *loopMetrics {
	m := &loopMetrics{set: set, planSeconds: set.Histogram("plantainmux_plan_seconds")}
	for _, condition := range group.Conditions {
		set.Gauge(fmt.Sprintf("plantainmux_groups{condition=%q}", condition), func() float64 { return m.count(condition) })
	}
	return m
}

func (m *loopMetrics) count(condition group.Condition) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.groups[condition])
}

func (m *loopMetrics) recordStatuses(statuses []view.GroupStatus) {
	groups := map[group.Condition]int{}
	for _, status := range statuses {
		groups[status.Condition]++
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups = groups
}

func (m *loopMetrics) countProposal(kind logstream.Kind, verdict string) {
	m.set.Counter(fmt.Sprintf("plantainmux_group_proposals_total{kind=%q,verdict=%q}", kind, verdict)).Inc()
}

func (m *loopMetrics) countOrder(result string) {
	m.set.Counter(fmt.Sprintf("plantainmux_member_orders_total{result=%q}", result)).Inc()
}
