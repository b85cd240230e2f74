package daemon

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

const peerDialTimeout = 5 * time.Second

// Traffic counts the bytes of the control traffic of a daemon.
type Traffic struct {
	Log     traffic.Counter
	VMs     traffic.Counter
	Engines traffic.Counter // reports and control orders
	Peers   traffic.Counter // includes the answers of requests served by other data centres
}

// register exposes the counters as metrics.
func (t *Traffic) register(metrics *metric.Set) {
	for name, counter := range map[string]*traffic.Counter{
		"log": &t.Log, "vms": &t.VMs, "engines": &t.Engines, "peers": &t.Peers,
	} {
		metrics.Gauge(fmt.Sprintf(`plantainmux_control_bytes_total{with=%q,direction="sent"}`, name),
			func() float64 { return float64(counter.Sent()) })
		metrics.Gauge(fmt.Sprintf(`plantainmux_control_bytes_total{with=%q,direction="received"}`, name),
			func() float64 { return float64(counter.Received()) })
	}
}
