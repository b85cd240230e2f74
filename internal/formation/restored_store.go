package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// eraSettlingPeriod is the time after the store has come back from an older copy, or after the
// start of this daemon, in which other daemons may still write records again that the store has
// lost: the longest poll of the ledger, a planning round and an append.
const eraSettlingPeriod = 4 * time.Second

// rewriteForgotten writes the record of a group again that the store has lost, and reports
// whether it had to. A group that serves keeps its epoch. Any other gets a new one: orders that
// were sent under the lost record may still be carried out late, and must not be taken for those
// of another group that was granted at the same offset.
func (p *planner) rewriteForgotten(record *ledger.Record) bool {
	if !p.in.Groups.Forgotten[record.Group] {
		return false
	}
	p.plan.Converging = true
	if record.Dissolving || p.isServing(record) {
		p.plan.Grants = append(p.plan.Grants, record.Restored())
		return true
	}
	p.grantAnew(record)
	return true
}

// grantedInEarlierEra reports whether the epoch of a record stems from an earlier era of the
// store. The store may have lost a record with the same epoch, so that no order to join may be
// sent under it any more.
func (p *planner) grantedInEarlierEra(record *ledger.Record) bool {
	return keyed.EraOf(record.Epoch) < p.in.Groups.Era
}

// grantAnew grants the members of a group again under a new epoch, once the head of the old one
// has released them.
func (p *planner) grantAnew(record *ledger.Record) {
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: record.Group, Service: record.Service, Model: record.Model, Domain: record.Domain,
		Members: record.Members, Former: p.formerGroups(record, false),
	})
}

// dropResurrected deletes the records again that had been deleted before the store came back
// from an older copy.
func (p *planner) dropResurrected() {
	for name, record := range p.in.Groups.Resurrected {
		if record.Service == p.service.Name && p.in.Owns(record.Domain) && !p.hasGrant(name) {
			p.plan.Converging = true
			p.plan.Drops = append(p.plan.Drops, name)
		}
	}
}
