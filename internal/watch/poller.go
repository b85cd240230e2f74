package watch

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// Poller polls members for their reports.
type Poller struct {
	engine  endpoint.Engine
	table   *Table
	pool    pond.Pool
	period  time.Duration
	targets func() []fleet.VM
}

// NewPoller returns a poller of the VMs that targets returns at each round.
func NewPoller(engine endpoint.Engine, table *Table, pool pond.Pool, period time.Duration, targets func() []fleet.VM) *Poller {
	return &Poller{engine: engine, table: table, pool: pool, period: period, targets: targets}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	polling := newInProgress()
	for {
		for _, vm := range p.targets() {
			p.start(ctx, polling, vm)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// start polls one VM, unless its last poll is still under way.
func (p *Poller) start(ctx context.Context, polling *inProgress, vm fleet.VM) {
	if !polling.begin(vm.ID) {
		return
	}
	_, ok := p.pool.TrySubmit(func() {
		defer polling.end(vm.ID)
		p.poll(ctx, vm)
	})
	if !ok {
		polling.end(vm.ID)
	}
}

func (p *Poller) poll(ctx context.Context, vm fleet.VM) {
	started := time.Now()
	report, err := p.engine.Report(ctx, vm.Address)
	if err != nil {
		p.table.Fail(vm.ID, started)
		return
	}
	// An engine that answers for another VM proves nothing of this one.
	if report.VM != vm.ID {
		p.table.Fail(vm.ID, started)
		return
	}
	p.table.Put(group.Observation{Report: report, Address: vm.Address, At: started})
}
