package daemon

import (
	"context"
	"fmt"
	"net"
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

// dialPeer dials another daemon and counts the bytes of the connection. Those
// of connections dialled by the other side are counted by the listener.
func (t *Traffic) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	return traffic.NewDialer(peerDialTimeout, &t.Peers).DialContext(ctx, network, address)
}
