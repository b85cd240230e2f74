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
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/view"
	"github.com/plantainmux/plantainmux/internal/watch"
)

// unreachableLog is a log that is unavailable.
type unreachableLog struct{}

func (unreachableLog) Append(context.Context, string, [][]byte) (infra.Offset, error) {
	return 0, &infra.UnavailableError{Operation: "append"}
}

func (unreachableLog) Read(context.Context, string, infra.Offset, int, time.Duration) (infra.Page, error) {
	return infra.Page{}, &infra.UnavailableError{Operation: "read"}
}

// recordedLog is a log with records of another writer.
type recordedLog struct {
	unreachableLog
	records []infra.Record
}

func (l *recordedLog) add(kind logstream.Kind, body any) *recordedLog {
	encoded, err := logstream.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	seq := uint64(len(l.records) + 1)
	data, err := logstream.Marshal(logstream.Entry{Writer: "other", Seq: seq, Kind: kind, Body: encoded})
	Expect(err).NotTo(HaveOccurred())
	l.records = append(l.records, infra.Record{Offset: infra.Offset(seq), Data: data})
	return l
}

func (l *recordedLog) Read(_ context.Context, _ string, from infra.Offset, _ int, _ time.Duration) (infra.Page, error) {
	next := infra.FirstOffset + infra.Offset(len(l.records))
	return infra.Page{Records: l.records[from-infra.FirstOffset:], Oldest: infra.FirstOffset, Next: next}, nil
}

// logWithForm returns a log whose first record assigns one VM to a group.
func logWithForm() *recordedLog {
	return new(recordedLog).add(group.KindForm, group.Form{Members: []fleet.VMID{"vm"}, Addresses: []string{"x"}, Fences: []fleet.FencingNumber{0}})
}

// testOrderTimeout is the maximum life of an order in tests.
const testOrderTimeout = time.Minute

// countingEngine counts the orders sent, and those whose deadline is missing or
// exceeds testOrderTimeout.
type countingEngine struct {
	endpoint.Engine
	orders   atomic.Int64
	overlong atomic.Int64
}

func (e *countingEngine) Control(ctx context.Context, _ string, _ endpoint.ControlOrder) (fleet.MemberReport, error) {
	e.orders.Add(1)
	if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > testOrderTimeout {
		e.overlong.Add(1)
	}
	return fleet.MemberReport{}, &endpoint.UnreachableError{}
}

// fixedList is a VM list that never changes.
type fixedList []fleet.VM

func (l fixedList) VMs(context.Context) ([]fleet.VM, error) { return l, nil }

func newTestLoop(log infra.Log, vms fixedList) *Loop {
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
	It("is not sent if the state of the log cannot be confirmed", func() {
		l := newTestLoop(unreachableLog{}, nil)
		engine := &countingEngine{}
		l.orderSender.Engine = engine
		l.orderSender.start(context.Background(), group.ControlTarget{VM: "vm"}, fleet.VM{ID: "vm", Address: "192.0.2.1:80"})
		l.orderSender.stop()
		Expect(engine.orders.Load()).To(BeZero())
	})

	It("is not sent with an outdated fencing number, and is sent with a deadline otherwise", func() {
		for fencing, want := range map[fleet.FencingNumber]int{0: 0, 1: 1} {
			l := newTestLoop(logWithForm(), nil)
			engine := &countingEngine{}
			l.orderSender.Engine = engine
			l.orderSender.Bounds.OrderLife = testOrderTimeout
			l.orderSender.start(context.Background(), group.ControlTarget{VM: "vm", Fencing: fencing}, fleet.VM{ID: "vm", Address: "192.0.2.1:80"})
			l.orderSender.stop()
			Expect(engine.orders.Load()).To(BeEquivalentTo(want))
			Expect(engine.overlong.Load()).To(BeZero())
		}
	})
})

var _ = Describe("A view", func() {
	It("lists a group for requests only while it is complete", func() {
		ready := group.Ready{Group: 1, Boots: map[fleet.VMID]fleet.BootID{"vm": "b"}}
		serving := func(log *recordedLog, boot fleet.BootID) []*view.Serving {
			l := newTestLoop(log, nil)
			Expect(l.Groups.Confirm(context.Background())).To(Succeed())
			report := fleet.MemberReport{VM: "vm", Boot: boot, Group: 1, State: fleet.EngineReady}
			l.Table.Put(group.Observation{Report: report, Address: "x", At: time.Now()})
			l.round(context.Background())
			Expect(l.Views.Load().Status).To(HaveLen(1))
			return l.Views.Load().Groups
		}
		Expect(serving(logWithForm(), "b")).To(BeEmpty())
		Expect(serving(logWithForm().add(group.KindReady, ready), "b")).To(HaveLen(1))
		Expect(serving(logWithForm().add(group.KindReady, ready), "b2")).To(BeEmpty())
		drain := group.Drain{Group: 1}
		Expect(serving(logWithForm().add(group.KindReady, ready).add(group.KindDrain, drain), "b")).To(BeEmpty())
	})
})

// BenchmarkRound measures one round in a data centre without groups to form:
// updating the roster and the history, and publishing the view. Without a
// configuration the daemon makes no plan.
func BenchmarkRound(b *testing.B) {
	for _, count := range []int{109, 217, 434} {
		var vms fixedList
		for i := range count {
			id := fleet.VMID(fmt.Sprintf("vm-%03d", i))
			vms = append(vms, fleet.VM{ID: id, Address: "192.0.2.1:80", DataCentre: "north", FabricDomain: fleet.FabricDomain(fmt.Sprintf("d%02d", i/16)), Accelerators: 8})
		}
		l := newTestLoop(unreachableLog{}, vms)
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
