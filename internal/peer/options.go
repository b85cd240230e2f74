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
	// MaxWait is the longest time that soft state waits for others to go with.
	MaxWait = 750 * time.Millisecond
	// looksPerWait is how many looks at each link fit into the longest wait. What
	// has waited for all but one of them goes.
	looksPerWait = 3
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
	MaxWait    time.Duration // longest time that soft state waits
	Logger     *slog.Logger
	Metrics    *metric.Set
}

func (o Options) withDefaults() Options {
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.MaxWait == 0 {
		o.MaxWait = min(MaxWait, o.Heartbeat*3/4)
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

// lookPeriod is the time between two looks at each link.
func (o Options) lookPeriod() time.Duration { return o.MaxWait / looksPerWait }

// silence is the time without a frame after which a link is closed.
func (o Options) silence() time.Duration {
	return silentHeartbeats * o.Heartbeat
}
