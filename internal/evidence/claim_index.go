package evidence

import (
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

// orderClaim is one recorded claim of a key with what was said of it.
type orderClaim struct {
	order.Claim
	item   Item
	ran    *Item // the first record that says it ran
	notRan *Item // the first record that says it did not run
}

// orderBook collects the claims of a slot.
type orderBook struct {
	byKey    map[order.Key][]*orderClaim
	byOffset map[infra.Offset]*orderClaim
	direct   uint64 // runs without a claim
	byHand   uint64 // settlements by operators
}

// readOrders returns the claims of a slot by key, in order, void ones included.
func readOrders(h History) *orderBook {
	b := &orderBook{byKey: map[order.Key][]*orderClaim{}, byOffset: map[infra.Offset]*orderClaim{}}
	for _, item := range h.Items {
		b.read(item)
	}
	return b
}

func (b *orderBook) read(item Item) {
	body := item.Entry.Body
	switch item.Entry.Kind {
	case order.KindClaim:
		var claim order.Claim
		if logstream.Unmarshal(body, &claim) == nil {
			b.add(claim, item)
		}
	case order.KindOutcome:
		var outcome order.Outcome
		if logstream.Unmarshal(body, &outcome) == nil {
			b.byOffset[outcome.Claim].note(outcome.State, item)
		}
	case order.KindWithdrawal:
		var withdrawal order.Withdrawal
		if logstream.Unmarshal(body, &withdrawal) == nil {
			b.withdrawn(withdrawal, item).note(order.NotRan, item)
		}
	case order.KindSettlement:
		var settlement order.Settlement
		if logstream.Unmarshal(body, &settlement) == nil {
			b.byHand++
			b.byOffset[settlement.Claim].note(settledState(settlement), item)
		}
	case order.KindDirectRun:
		var run order.DirectRun
		if logstream.Unmarshal(body, &run) == nil {
			b.direct++
			b.add(run.Claim, item).note(run.Outcome.State, item)
		}
	}
}

func (b *orderBook) add(claim order.Claim, item Item) *orderClaim {
	added := &orderClaim{Claim: claim, item: item}
	b.byKey[claim.Key] = append(b.byKey[claim.Key], added)
	b.byOffset[item.Offset] = added
	return added
}

// withdrawn returns the claim that its writer withdrew, or nil when the claim
// never reached the stream.
func (b *orderBook) withdrawn(withdrawal order.Withdrawal, item Item) *orderClaim {
	for _, claim := range b.byKey[withdrawal.Key] {
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

// note keeps the first record that says that the claim ran, and the first that
// says that it did not.
func (c *orderClaim) note(state order.State, item Item) {
	switch {
	case c == nil:
	case state == order.Ran && c.ran == nil:
		c.ran = &item
	case state == order.NotRan && c.notRan == nil:
		c.notRan = &item
	}
}
