package delivery

import (
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
)

// Monitor tells operators what is under way, what is lost with a connection, and what is withdrawn.
type Monitor struct {
	tracker   *Tracker
	logger    *slog.Logger
	withdrawn *metrics.Counter
}

// NewMonitor returns a monitor of a tracker's connections, and registers its metrics with the two functions.
func NewMonitor(tracker *Tracker, gauge func(name string, value func() float64), counter func(name string) *metrics.Counter, logger *slog.Logger) *Monitor {
	for _, to := range []Peer{Endpoints, Workers, Daemons, Store} {
		gauge(fmt.Sprintf("plantainmux_unacknowledged_bytes{to=%q}", to), func() float64 { return float64(tracker.Unacknowledged(to)) })
	}
	tracker.Report(func(u Undelivered) {
		counter(fmt.Sprintf("plantainmux_closed_undelivered_total{to=%q}", u.To)).Inc()
		logger.Info("connection closed with unacknowledged bytes", "to", u.To, "address", u.Address, "unacknowledged_bytes", u.Bytes)
	})
	return &Monitor{tracker: tracker, logger: logger, withdrawn: counter("plantainmux_withdrawn_connections_total")}
}

// WithdrawFromUnused takes back what is under way to addresses at which no endpoint takes requests any more. It is to be called
// as WithdrawStalled is.
func (m *Monitor) WithdrawFromUnused(used map[string]bool) {
	if count := m.tracker.WithdrawStalled(Endpoints, func(address string) bool { return !used[address] }); count > 0 {
		m.withdrawn.Add(count)
		m.logger.Info("connections to endpoints that have left were reset over what had not arrived", "connections", count)
	}
}
