package reconcile

import (
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/view"
	"github.com/plantainmux/plantainmux/internal/watch"
)

// Dependencies holds the inputs and collaborators of a Loop.
type Dependencies struct {
	Self       fleet.DaemonID
	DataCentre fleet.DataCentre
	Groups     *logstream.Stream[*group.Fold]
	Config     func() config.Versioned
	Table      *watch.Table
	VMs        *watch.VMs
	Views      *view.Store
	Engine     endpoint.Engine
	WithLog    func() []fleet.DaemonID // daemons of the data centre that can read the log
	Period     time.Duration
	Bounds     group.Bounds
	Metrics    *metric.Set
	Logger     *slog.Logger
}
