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

// proposer appends one plan at a time and waits for the verdicts, so that the
// next plan is made on their outcome. Nothing else waits for it.
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

// begin reports whether a new plan may be made.
func (p *proposer) begin() bool {
	return !p.busy.Load()
}

// start appends a plan in the background.
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
		p.metrics.proposal(kind, "no_verdict")
		p.Logger.Warn("proposal without verdict", "kind", kind, "error", err)
	case receipt.Void != nil:
		p.metrics.proposal(kind, "void")
		p.Logger.Info("proposal void", "kind", kind, "offset", receipt.Offset, "reason", receipt.Void)
	default:
		p.metrics.proposal(kind, "accepted")
		p.Logger.Info("proposal accepted", "kind", kind, "offset", receipt.Offset, "body", body)
	}
}
