package reconcile

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/platform"
	"github.com/plantainmux/plantainmux/internal/view"
	"github.com/plantainmux/plantainmux/internal/watch"
)

// awayLog is a log that cannot be reached.
type awayLog struct{}

func (awayLog) Append(context.Context, string, [][]byte) (platform.Offset, error) {
	return 0, &platform.UnavailableError{Operation: "append"}
}

func (awayLog) Read(context.Context, string, platform.Offset, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, &platform.UnavailableError{Operation: "read"}
}

// countingEngine counts the orders that are sent.
type countingEngine struct {
	endpoint.Engine
	orders atomic.Int64
}

func (e *countingEngine) Control(context.Context, string, endpoint.ControlOrder) (fleet.MemberReport, error) {
	e.orders.Add(1)
	return fleet.MemberReport{}, &endpoint.UnreachableError{}
}

// fixedList lists the same VMs always.
type fixedList []fleet.VM

func (l fixedList) VMs(context.Context) ([]fleet.VM, error) { return l, nil }

func newTestLoop(log platform.Log, vms fixedList) *Loop {
	logger := slog.New(slog.DiscardHandler)
	groups := logstream.New(log, "groups.north", group.NewFold(), logstream.Options{Writer: "w", Logger: logger})
	followed := watch.NewVMs(vms, peer.NewSolo("d"), "north", time.Hour, logger, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	followed.Run(ctx) // reads the list once
	return NewLoop(Dependencies{
		Self:       "d",
		DataCentre: "north",
		Groups:     groups,
		Config:     func() config.Versioned { return config.Versioned{} },
		Table:      watch.NewTable("d", 2*time.Second, func(fleet.VMID, group.Observation) {}, func(fleet.VMID) {}),
		VMs:        followed,
		Views:      view.NewStore(),
		WithLog:    func() []fleet.DaemonID { return []fleet.DaemonID{"d"} },
		Period:     time.Millisecond,
		Bounds:     group.Bounds{ReportBound: 2 * time.Second},
		Metrics:    metric.NewSet(),
		Logger:     logger,
	})
}

var _ = Describe("An order", func() {
	It("is not sent on a view of the log that cannot be confirmed", func() {
		l := newTestLoop(awayLog{}, nil)
		engine := &countingEngine{}
		l.orderer.Engine = engine
		l.orderer.start(context.Background(), group.ControlTarget{VM: "vm"}, fleet.VM{ID: "vm", Address: "192.0.2.1:80"})
		l.orderer.stop()
		Expect(engine.orders.Load()).To(BeZero())
	})
})

// BenchmarkRound measures one round of a daemon in a data centre without groups
// to form: the roster, the history, the view and the plan.
func BenchmarkRound(b *testing.B) {
	for _, count := range []int{109, 217, 434} {
		var vms fixedList
		for i := range count {
			id := fleet.VMID(fmt.Sprintf("vm-%03d", i))
			vms = append(vms, fleet.VM{ID: id, Address: "192.0.2.1:80", DataCentre: "north", FabricDomain: fleet.FabricDomain(fmt.Sprintf("d%02d", i/16)), Accelerators: 8})
		}
		l := newTestLoop(awayLog{}, vms)
		for _, vm := range vms {
			l.Table.Put(group.Observation{Report: fleet.MemberReport{VM: vm.ID, Boot: "b", State: fleet.EngineIdle}, Address: vm.Address, At: time.Now()})
		}
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.round(context.Background())
			}
		})
	}
}
