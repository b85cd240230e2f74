package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
)

// Defaults of the options.
const (
	DefaultHeartbeat    = time.Second
	maxMissedHeartbeats = 3 // heartbeat intervals without a frame after which a link is closed
	// DefaultMaxPublishDelay is the default maximum delay of deferred soft state.
	DefaultMaxPublishDelay = 750 * time.Millisecond
	// checksPerPublishDelay is the number of link checks per maximum delay. Soft
	// state is flushed one check before its delay would be exceeded.
	checksPerPublishDelay = 3
)

// Options configure the mesh of one daemon.
type Options struct {
	Self            fleet.DaemonID
	DataCentre      fleet.DataCentre
	Secret          string // shared by all daemons
	Addresses       []Address
	ClientTLS       *tls.Config // nil: plain TCP
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	Delivery        *delivery.Tracker // of accepted links; those that are dialled are Dial's
	Heartbeat       time.Duration     // maximum interval between two frames on a link
	MaxPublishDelay time.Duration     // maximum delay of deferred soft state; 0: derived from DefaultMaxPublishDelay and Heartbeat
	Logger          *slog.Logger
	Metrics         *metric.Set
}

func (o Options) withDefaults() Options {
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.MaxPublishDelay == 0 {
		o.MaxPublishDelay = min(DefaultMaxPublishDelay, o.Heartbeat*3/4)
	}
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = dialer.DialContext
	}
	if o.Delivery == nil {
		o.Delivery = delivery.NewTracker()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metric.NewSet()
	}
	return o
}

// checkPeriod is the interval between two checks of each link.
func (o Options) checkPeriod() time.Duration { return o.MaxPublishDelay / checksPerPublishDelay }

// silenceTimeout is the time without a frame after which a link is closed.
func (o Options) silenceTimeout() time.Duration {
	return maxMissedHeartbeats * o.Heartbeat
}
