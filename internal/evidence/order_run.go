package evidence

import (
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// orderClaim is one recorded claim of a key with what was said of it.
type orderClaim struct {
	order.Claim
	item   Item
	ran    *Item // the first record that says it ran
	notRan *Item // the first record that says it did not run
}

// orderClaims returns the claims of a slot by key, in order, void ones
// included.
func orderClaims(h History) map[order.Key][]*orderClaim {
	claims := map[order.Key][]*orderClaim{}
	byOffset := map[platform.Offset]*orderClaim{}
	for _, item := range h.Items {
		switch item.Entry.Kind {
		case order.KindClaim:
			claim := &orderClaim{item: item}
			if logstream.Unmarshal(item.Entry.Body, &claim.Claim) == nil {
				claims[claim.Key] = append(claims[claim.Key], claim)
				byOffset[item.Offset] = claim
			}
		case order.KindOutcome:
			var outcome order.Outcome
			if logstream.Unmarshal(item.Entry.Body, &outcome) == nil {
				noteOutcome(byOffset[outcome.Claim], outcome, item)
			}
		}
	}
	return claims
}

func noteOutcome(claim *orderClaim, outcome order.Outcome, item Item) {
	switch {
	case claim == nil:
	case outcome.State == order.Ran && claim.ran == nil:
		claim.ran = &item
	case outcome.State == order.NotRan && claim.notRan == nil:
		claim.notRan = &item
	}
}
