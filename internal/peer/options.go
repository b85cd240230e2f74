package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
)

// Defaults of the options.
const (
	DefaultHeartbeat = time.Second
	silentHeartbeats = 3 // heartbeats without a frame after which a link is closed
)

// Options describe one daemon of the mesh.
type Options struct {
	Self       fleet.DaemonID
	DataCentre fleet.DataCentre
	Secret     string // shared by all daemons
	Addresses  []Address
	ClientTLS  *tls.Config // nil: plain TCP
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
	Heartbeat  time.Duration // longest time between two frames of a link
	Logger     *slog.Logger
	Metrics    *metric.Set
}

func (o Options) withDefaults() Options {
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = dialer.DialContext
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metric.NewSet()
	}
	return o
}

// silence is the time without a frame after which a link is closed.
func (o Options) silence() time.Duration {
	return silentHeartbeats * o.Heartbeat
}
