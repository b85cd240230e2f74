package formation

import "github.com/plantainmux/plantainmux/internal/ledger"

// ledgerUnopened reports whether a group may still be granted under epoch 0. No epoch is lower, so
// that nothing may be ordered of a spare before.
func (p *planner) ledgerUnopened() bool { return p.in.Groups.EndEpoch() == 0 }

// openLedger plans the first record of an empty ledger, before any grant or order to a spare.
func (p *planner) openLedger() {
	if p.ledgerUnopened() && (p.sparesWait || len(p.plan.Grants) > 0) {
		p.plan.Converging = true
		p.plan.Drops = append(p.plan.Drops, ledger.OpeningKey)
	}
}
