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
	hintQueue = 1024 // VMs that may wait for an immediate poll
	// pollWorkers is large enough that polls that hang, as when a fabric domain
	// fails, do not delay the others.
	pollWorkers = 4096
)

// Poller polls members for their reports.
type Poller struct {
	self     fleet.DaemonID
	engine   endpoint.Engine
	table    *Table
	duty     *Duty
	pool     pond.Pool
	period   time.Duration
	timeout  time.Duration
	polling  *inProgress
	hints    chan fleet.VM
	onChange func()          // called after each poll whose result differs from the one before
	onRound  func(time.Time) // called in the middle of each round with its start
}

// NewPoller returns a poller of the VMs that duty assigns.
func NewPoller(self fleet.DaemonID, engine endpoint.Engine, table *Table, duty *Duty, period time.Duration) *Poller {
	return &Poller{
		self:     self,
		engine:   engine,
		table:    table,
		duty:     duty,
		pool:     pond.NewPool(pollWorkers),
		period:   period,
		timeout:  table.bound / 2,
		polling:  newInProgress(),
		hints:    make(chan fleet.VM, hintQueue),
		onChange: func() {},
		onRound:  func(time.Time) {},
	}
}

// Hint requests an immediate poll of a VM. It is dropped if the queue is full.
func (p *Poller) Hint(vm fleet.VM) {
	select {
	case p.hints <- vm:
	default:
	}
}

// Run polls until ctx ends. Rounds begin at multiples of the period on the wall
// clock, so that the digests of all daemons arrive together and wake each daemon
// once a round.
func (p *Poller) Run(ctx context.Context) {
	rounds := time.NewTimer(untilRound(time.Now(), p.period))
	defer rounds.Stop()
	defer p.pool.StopAndWait()
	halfPeriod := time.NewTimer(p.period / 2)
	defer halfPeriod.Stop()
	began := p.startRound(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-p.hints:
			p.start(ctx, vm)
		case <-halfPeriod.C:
			p.onRound(began)
		case <-rounds.C:
			began = p.startRound(ctx)
			halfPeriod.Reset(p.period / 2)
			rounds.Reset(untilRound(began, p.period))
		}
	}
}

// untilRound returns the time until the next round, at least half a period. A
// wrong or adjusted clock affects only the alignment between daemons.
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

// start starts a poll of one VM unless one is in progress.
func (p *Poller) start(ctx context.Context, vm fleet.VM) {
	if vm.Address == "" || !p.polling.begin(vm.ID) {
		return
	}
	_, ok := p.pool.TrySubmit(func() {
		changed := p.poll(ctx, vm)
		p.polling.end(vm.ID)
		if changed {
			p.onChange()
		}
	})
	if !ok {
		p.polling.end(vm.ID)
	}
}

// poll polls one VM and reports whether the result differs from the one before.
func (p *Poller) poll(ctx context.Context, vm fleet.VM) bool {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	report, err := p.engine.Report(limited, vm.Address)
	if ctx.Err() != nil {
		return false
	}
	// A report from another VM, at a reused address, counts as a failed poll.
	if err != nil || report.VM != vm.ID {
		return p.table.RecordFailure(p.self, vm.ID, began, time.Now())
	}
	return p.table.Put(group.Observation{Report: report, Address: vm.Address, At: began})
}
