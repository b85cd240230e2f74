package evidence

import (
	"fmt"
)

// checkNotRunTruthful looks for claims that were recorded both as run and as
// not run, and for refusals that daemons themselves found untrue.
func checkNotRunTruthful(records Records, digests []digestItem) *Finding {
	f := newFinding(NotRunTruthful, "what an endpoint ran without telling")
	var refusals, settled uint64
	for _, digest := range digests {
		refusals += digest.Answers.NotRun
		if digest.Answers.RanNotRun > 0 {
			f.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s refused %d requests as not run though an attempt may have run", digest.Daemon, digest.Answers.RanNotRun))
		}
	}
	for _, history := range records.Orders {
		for _, claims := range readOrders(history).byKey {
			for _, claim := range claims {
				if claim.notRan == nil {
					continue
				}
				settled++
				if claim.ran != nil {
					f.breach(history.Stream, *claim.ran, fmt.Sprintf(
						"the order of claim %d is recorded as not run at offset %d and as run", claim.item.Offset, claim.notRan.Offset))
				}
			}
		}
	}
	f.checked("refusals as not run", refusals)
	f.checked("orders settled as not run", settled)
	return f
}

// checkOrdersAtMostOnce looks for keys that two claims ran within the lifetime
// of the key.
func checkOrdersAtMostOnce(records Records) *Finding {
	f := newFinding(
		OrdersAtMostOnce,
		"what a service did beyond the calls that it was sent",
	)
	var keys, ran, open, direct, byHand uint64
	for _, history := range records.Orders {
		book := readOrders(history)
		direct += book.direct
		byHand += book.byHand
		for _, claims := range book.byKey {
			keys++
			var first *orderClaim
			settled := false
			for _, claim := range claims {
				settled = settled || claim.ran != nil || claim.notRan != nil
				if claim.ran == nil {
					continue
				}
				ran++
				if first != nil && withinLifetime(first, claim) {
					f.breach(history.Stream, *claim.ran, fmt.Sprintf(
						"one key ran by the claims at offsets %d and %d", first.item.Offset, claim.item.Offset))
				}
				first = claim
			}
			if !settled {
				open++
			}
		}
	}
	f.checked("keys", keys)
	f.checked("orders recorded as run", ran)
	f.checked("orders run without a claim, by services that refuse repeats", direct)
	f.checked("orders settled by an operator", byHand)
	f.checked("keys without a settled outcome", open)
	if open > 0 {
		f.NotKnown = append(f.NotKnown, fmt.Sprintf("whether %d orders without a settled outcome ran", open))
	}
	return f
}

func withinLifetime(first, second *orderClaim) bool {
	return second.item.Entry.Millis-first.item.Entry.Millis < first.LifetimeMillis
}
