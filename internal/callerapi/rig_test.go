package callerapi_test

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	rigModel    = fleet.ModelName("rig")
	rigRequests = 100
)

// tester is the common interface of testing.B and GinkgoT.
type tester interface {
	Fatal(args ...any)
	Cleanup(f func())
}

// rig is one fake engine and the request path of a daemon in front of it.
type rig struct {
	engine   *fakes.Engine
	direct   *fakes.Server
	caller   *fakes.Server
	views    *view.Store
	failed   []fleet.VMID
	suspects *suspect.Watch
}

func newRig(t tester, options fakes.EngineOptions) *rig {
	r := &rig{engine: fakes.NewEngine(options), views: view.NewStore()}
	r.engine.SetReport(fleet.MemberReport{VM: options.VM, Group: 1, State: fleet.EngineReady, Model: rigModel})
	r.direct = serve(t, r.engine.Handler())
	r.publish(time.Now().Add(time.Hour))
	r.caller = serve(t, r.path())
	return r
}

func serve(t tester, handler http.Handler) *fakes.Server {
	server, err := fakes.StartServer("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return server
}

// publish sets a view with one group that is valid until validUntil.
func (r *rig) publish(validUntil time.Time) {
	team := config.Team{Name: "team", Share: 1}
	r.views.Publish(&view.View{
		Config: config.Versioned{Version: 1, Configuration: config.Configuration{
			Models: []config.Model{{Name: rigModel, Requests: rigRequests}},
			Teams:  []config.Team{team},
		}},
		Teams: map[string]config.Team{callerapi.HashKey("key"): team},
		Groups: []*view.Serving{{
			Group:         fleet.Group{Fencing: 1, Model: rigModel, Members: []fleet.VMID{"vm"}},
			LeaderAddress: r.direct.Address(),
			ValidUntil:    validUntil,
			Capacity:      rigRequests,
			Load:          &view.Load{},
		}},
	})
}

func (r *rig) path() http.Handler {
	mesh := peer.NewSolo("daemon")
	r.suspects = suspect.NewWatch(mesh, "north")
	metrics := metric.NewSet()
	gate := admit.NewGate(admit.Dependencies{
		Views: r.views, Mesh: mesh, Declared: 1,
		Bounds: admit.Bounds{QueueLength: rigRequests, QueueWait: time.Second},
	})
	return callerapi.New(callerapi.Dependencies{
		Views:    r.views,
		Gate:     gate,
		Metrics:  metrics,
		Evidence: evidence.NewRecorder("daemon", "north", time.Now()),
		Logger:   slog.New(slog.DiscardHandler),
		Relay: relay.New(relay.Dependencies{
			Views: r.views, Engine: endpoint.NewHTTPEngine(), Suspects: r.suspects, Metrics: metrics, Observer: relay.NoObserver{},
			Failed: func(vm fleet.VMID, _ time.Time) { r.failed = append(r.failed, vm) },
		}),
		BodyLimit:       1 << 20,
		BodyTimeout:     200 * time.Millisecond,
		DefaultDeadline: time.Minute,
	}).Handler()
}
