package evidence

import (
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

// orderClaim is one recorded claim of a key with its recorded outcomes.
type orderClaim struct {
	order.Claim
	item   Item
	ran    *Item // first record that reports that it ran
	notRan *Item // first record that reports that it did not run
}

// claimIndex contains the claims of a slot by key and by offset.
type claimIndex struct {
	byKey      map[order.Key][]*orderClaim
	byOffset   map[infra.Offset]*orderClaim
	directRuns uint64 // number of runs without a claim
	byOperator uint64 // number of settlements by operators
}

// indexClaims returns the claims of a slot in the order of the stream, including
// void ones.
func indexClaims(h History) *claimIndex {
	x := &claimIndex{byKey: map[order.Key][]*orderClaim{}, byOffset: map[infra.Offset]*orderClaim{}}
	for _, item := range h.Items {
		x.read(item)
	}
	return x
}

func (x *claimIndex) read(item Item) {
	body := item.Entry.Body
	switch item.Entry.Kind {
	case order.KindClaim:
		var claim order.Claim
		if logstream.Unmarshal(body, &claim) == nil {
			x.add(claim, item)
		}
	case order.KindOutcome:
		var outcome order.Outcome
		if logstream.Unmarshal(body, &outcome) == nil {
			x.byOffset[outcome.Claim].setOutcome(outcome.State, item)
		}
	case order.KindWithdrawal:
		var withdrawal order.Withdrawal
		if logstream.Unmarshal(body, &withdrawal) == nil {
			x.findWithdrawn(withdrawal, item).setOutcome(order.NotRan, item)
		}
	case order.KindSettlement:
		var settlement order.Settlement
		if logstream.Unmarshal(body, &settlement) == nil {
			x.byOperator++
			x.byOffset[settlement.Claim].setOutcome(settledState(settlement), item)
		}
	case order.KindDirectRun:
		var run order.DirectRun
		if logstream.Unmarshal(body, &run) == nil {
			x.directRuns++
			x.add(run.Claim, item).setOutcome(run.Outcome.State, item)
		}
	}
}

func (x *claimIndex) add(claim order.Claim, item Item) *orderClaim {
	added := &orderClaim{Claim: claim, item: item}
	x.byKey[claim.Key] = append(x.byKey[claim.Key], added)
	x.byOffset[item.Offset] = added
	return added
}

// findWithdrawn returns the claim that its writer withdrew, or nil when the claim
// never reached the stream.
func (x *claimIndex) findWithdrawn(withdrawal order.Withdrawal, item Item) *orderClaim {
	for _, claim := range x.byKey[withdrawal.Key] {
		if claim.Attempt == withdrawal.Attempt && claim.item.Entry.Writer == item.Entry.Writer {
			return claim
		}
	}
	return nil
}

func settledState(settlement order.Settlement) order.State {
	if settlement.Ran {
		return order.Ran
	}
	return order.NotRan
}

// setOutcome stores the first record that reports that the claim ran and the first
// that reports that it did not run. It does nothing on a nil claim.
func (c *orderClaim) setOutcome(state order.State, item Item) {
	switch {
	case c == nil:
	case state == order.Ran && c.ran == nil:
		c.ran = &item
	case state == order.NotRan && c.notRan == nil:
		c.notRan = &item
	}
}
