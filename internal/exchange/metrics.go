package exchange

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/hedge"
)

const successesPerLog = 64 // one of this many ordinary successes is logged

// Metrics holds the metrics of requests and retries.
type Metrics struct {
	set           *metrics.Set
	successes     atomic.Uint64
	first         map[catalog.Kind]*metrics.Histogram
	gaps          *metrics.Histogram
	blockedWrites *metrics.Counter // writes to callers that blocked, so that another goroutine reads on
	overload      sync.Map         // *overloadMetrics by modelKey
}

// NewMetrics registers a counter for each failure reason, so that each is exported
// as zero before its first failure.
func NewMetrics(set *metrics.Set) *Metrics {
	for _, reason := range Reasons {
		set.GetOrCreateCounter(failureName(reason))
	}
	m := &Metrics{set: set, first: map[catalog.Kind]*metrics.Histogram{}}
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Streaming} {
		m.first[kind] = set.GetOrCreateHistogram(fmt.Sprintf(`plantainmux_exchange_first_seconds{kind=%q}`, kind))
	}
	m.gaps = set.GetOrCreateHistogram("plantainmux_exchange_longest_gap_seconds")
	m.blockedWrites = set.GetOrCreateCounter("plantainmux_exchange_blocked_writes_total")
	return m
}

func failureName(reason Reason) string {
	return fmt.Sprintf(`plantainmux_exchange_failures_total{reason=%q}`, reason)
}

func (m *Metrics) finished(r *run, failure *Failure, _ time.Duration) {
	if failure != nil {
		m.set.GetOrCreateCounter(failureName(failure.Reason)).Inc()
		return
	}
	m.successes.Add(1)
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_exchange_done_total{kind=%q}`, r.req.Route.Kind)).Inc()
	m.first[r.req.Route.Kind].Update(r.timeToFirst().Seconds())
	if r.longestGap > 0 {
		m.gaps.Update(r.longestGap.Seconds())
	}
}

func (m *Metrics) retried(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_exchange_retries_total{reason=%q}`, reason)).Inc()
}

// sampled reports whether the latest ordinary success is to be logged.
func (m *Metrics) sampled() bool { return m.successes.Load()%successesPerLog == 1 }

// dispatched counts a request for which dispatchers are used, by the reason of a local choice.
func (m *Metrics) dispatched(outcome dispatch.Outcome) {
	switch {
	case !outcome.Asked:
	case outcome.Local == "":
		m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_dispatched_total{outcome=%q}`, outcome.Answer.Outcome())).Inc()
	default:
		m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_dispatch_local_total{reason=%q}`, outcome.Local)).Inc()
	}
}

// hedged counts an attempt that was sent beside another one.
func (m *Metrics) hedged(reason hedge.Action) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_exchange_hedges_total{reason=%q}`, reason)).Inc()
}

// hedgeDenied counts a check at which no attempt was sent beside a silent or slow one.
func (m *Metrics) hedgeDenied(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_exchange_hedges_denied_total{reason=%q}`, reason)).Inc()
}

// hedgeEnded counts how an attempt beside another one ended as such.
func (m *Metrics) hedgeEnded(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_exchange_hedges_ended_total{outcome=%q}`, outcome)).Inc()
}
