package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/dispatch"
)

// dispatchClientDependencies are the collaborators of a dispatchClient.
type dispatchClientDependencies struct {
	self    string // name of this daemon
	call    func(ctx context.Context, to string, call dispatch.Call, answer *dispatch.Answer) error
	local   func(from string, call dispatch.Call, now time.Time) dispatch.Answer // of this daemon's own dispatcher
	known   func(target unknownTarget) bool                                      // whether this daemon's view has the target
	clock   func() time.Time                                                     // monotonic, since the wall clock may jump by seconds
	metrics *metrics.Set
	logger  *slog.Logger
}
