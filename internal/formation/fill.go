package formation

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// fill forms groups of the free endpoints of a domain, the model first whose
// endpoints fall furthest below its configured share.
func (p *planner) fill(domain string) {
	if !p.complete(domain) {
		p.plan.Unsettled = true
		return
	}
	for {
		model := p.mostMissed(len(p.free[domain]))
		if model == nil {
			return
		}
		var members []ledger.Member
		for _, e := range p.spares(domain, model.Name)[:model.Size] {
			members = append(members, memberOf(e))
			p.take(e)
		}
		p.counts[model.Name]++
		p.plan.Unsettled = true
		p.plan.Grants = append(p.plan.Grants, &ledger.Record{
			Group: p.newName(domain), Service: p.service.Name, Model: model.Name, Domain: domain, Members: members,
		})
	}
}

// complete reports whether all endpoints of a domain have likely appeared. At the
// first start of a fleet they do so one after the other, and a group of those
// that came first would take the place of one that serves more.
func (p *planner) complete(domain string) bool {
	if !p.in.Quiet {
		return true
	}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if e.Domain == domain && p.in.Now.Sub(e.Appeared) < appearGap {
			return false
		}
	}
	return true
}

// appearGap is the time without a new endpoint after which a domain counts as
// complete: several times the gap between two that appear at a first start.
const appearGap = 700 * time.Millisecond

// mostMissed returns the model to form a group of from a number of endpoints,
// nil if none fits.
func (p *planner) mostMissed(free int) *catalog.Model {
	var best *catalog.Model
	for i := range p.service.Models {
		model := &p.service.Models[i]
		if model.Size > free || model.Size <= 0 {
			continue
		}
		if best == nil || p.misses(model, best) {
			best = model
		}
	}
	return best
}

// misses reports whether a model is further below its share than another one.
func (p *planner) misses(model, other *catalog.Model) bool {
	a, b := p.supply(model), p.supply(other)
	if a != b {
		return a < b
	}
	return model.Size > other.Size
}

// supply returns the endpoints of a model's groups over its share.
func (p *planner) supply(model *catalog.Model) float64 {
	return float64(p.counts[model.Name]*model.Size) / max(model.Share, minShare)
}

// minShare stands for a share that is not given.
const minShare = 1e-3

// newName returns a name that no group has, in the ledger or in the plan.
func (p *planner) newName(domain string) string {
	for number := 0; ; number++ {
		name := fmt.Sprintf("%s.%d", domain, number)
		if p.in.Groups.Groups[name] == nil && !p.plans(name) {
			return name
		}
	}
}

func (p *planner) plans(name string) bool {
	for _, grant := range p.plan.Grants {
		if grant.Group == name {
			return true
		}
	}
	return false
}
