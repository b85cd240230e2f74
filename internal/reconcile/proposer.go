package reconcile

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

const (
	proposeTimeout  = 5 * time.Second
	proposalWorkers = 64
)

// proposer appends the records of one plan at a time and waits for their outcomes,
// so that the next plan is based on them. It runs in the background and blocks
// nothing else.
type proposer struct {
	Dependencies
	metrics *loopMetrics
	pool    pond.Pool
	busy    atomic.Bool
}

func newProposer(dependencies Dependencies, metrics *loopMetrics) *proposer {
	return &proposer{Dependencies: dependencies, metrics: metrics, pool: pond.NewPool(proposalWorkers)}
}

func (p *proposer) stop() { p.pool.StopAndWait() }

// idle reports whether no plan is being appended, so a new one may be made.
func (p *proposer) idle() bool {
	return !p.busy.Load()
}

// start appends the records of a plan in the background.
func (p *proposer) start(ctx context.Context, plan group.Plan) {
	if plan.Empty() {
		return
	}
	p.busy.Store(true)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	tasks := p.pool.NewGroup()
	for _, release := range plan.Releases {
		tasks.Submit(func() { p.propose(ctx, group.KindRelease, release) })
	}
	for _, drain := range plan.Drains {
		tasks.Submit(func() { p.propose(ctx, group.KindDrain, drain) })
	}
	for _, ready := range plan.Readies {
		tasks.Submit(func() { p.propose(ctx, group.KindReady, ready) })
	}
	for _, form := range plan.Forms {
		tasks.Submit(func() { p.propose(ctx, group.KindForm, form) })
	}
	go func() {
		defer p.busy.Store(false)
		defer cancel()
		_ = tasks.Wait()
	}()
}

func (p *proposer) propose(ctx context.Context, kind logstream.Kind, body any) {
	receipt, err := p.Groups.Propose(ctx, kind, body)
	switch {
	case err != nil:
		p.metrics.countProposal(kind, "no_verdict")
		p.Logger.Warn("outcome of group proposal unknown", "kind", kind, "error", err)
	case receipt.Void != nil:
		p.metrics.countProposal(kind, "void")
		p.Logger.Info("group proposal rejected", "kind", kind, "offset", receipt.Offset, "reason", receipt.Void)
	default:
		p.metrics.countProposal(kind, "accepted")
		p.Logger.Info("group proposal accepted", "kind", kind, "offset", receipt.Offset, "body", body)
	}
}
