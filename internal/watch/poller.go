package watch

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

const (
	hintQueue = 1024 // VMs that may wait for a poll out of turn
	// pollWorkers is so large that polls which hang, as when a fabric domain goes
	// dark, do not keep the others waiting.
	pollWorkers = 4096
)

// Poller polls members for their reports.
type Poller struct {
	self    fleet.DaemonID
	engine  endpoint.Engine
	table   *Table
	duty    *Duty
	pool    pond.Pool
	period  time.Duration
	timeout time.Duration
	polling *inProgress
	hints   chan fleet.VM
	changed func()          // told after each poll that brought something new
	round   func(time.Time) // told in the middle of each round that began at a time
}

// NewPoller returns a poller of the VMs of a duty.
func NewPoller(self fleet.DaemonID, engine endpoint.Engine, table *Table, duty *Duty, period time.Duration) *Poller {
	return &Poller{
		self:    self,
		engine:  engine,
		table:   table,
		duty:    duty,
		pool:    pond.NewPool(pollWorkers),
		period:  period,
		timeout: table.bound / 2,
		polling: newInProgress(),
		hints:   make(chan fleet.VM, hintQueue),
		changed: func() {},
		round:   func(time.Time) {},
	}
}

// Hint polls a VM soon, out of turn.
func (p *Poller) Hint(vm fleet.VM) {
	select {
	case p.hints <- vm:
	default:
	}
}

// Run polls until ctx ends. Rounds begin at whole periods of the wall clock, so
// that the digests of many daemons come together and wake each of them once.
func (p *Poller) Run(ctx context.Context) {
	rounds := time.NewTimer(untilRound(time.Now(), p.period))
	defer rounds.Stop()
	defer p.pool.StopAndWait()
	middle := time.NewTimer(p.period / 2)
	defer middle.Stop()
	began := p.startRound(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-p.hints:
			p.start(ctx, vm)
		case <-middle.C:
			p.round(began)
		case <-rounds.C:
			began = p.startRound(ctx)
			middle.Reset(p.period / 2)
			rounds.Reset(untilRound(began, p.period))
		}
	}
}

// untilRound returns the time until the next round, from half a period on. Clocks
// that are wrong or set cost nothing but the coincidence.
func untilRound(now time.Time, period time.Duration) time.Duration {
	left := period - time.Duration(now.UnixNano())%period
	if left < period/2 {
		left += period
	}
	return left
}

func (p *Poller) startRound(ctx context.Context) time.Time {
	began := time.Now()
	for _, vm := range p.duty.Targets(began) {
		p.start(ctx, vm)
	}
	return began
}

// start polls one VM, unless its last poll is still under way.
func (p *Poller) start(ctx context.Context, vm fleet.VM) {
	if vm.Address == "" || !p.polling.begin(vm.ID) {
		return
	}
	_, ok := p.pool.TrySubmit(func() {
		changed := p.poll(ctx, vm)
		p.polling.end(vm.ID)
		if changed {
			p.changed()
		}
	})
	if !ok {
		p.polling.end(vm.ID)
	}
}

// poll reports whether it brought something new.
func (p *Poller) poll(ctx context.Context, vm fleet.VM) bool {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	report, err := p.engine.Report(limited, vm.Address)
	if ctx.Err() != nil {
		return false
	}
	// An engine that answers for another VM proves nothing of this one.
	if err != nil || report.VM != vm.ID {
		return p.table.Missed(p.self, vm.ID, began, time.Now())
	}
	return p.table.Put(group.Observation{Report: report, Address: vm.Address, At: began})
}
