package evidence

import (
	"fmt"
)

// checkNotRunTruthful looks for claims that were recorded both as run and as not
// run, and for requests that daemons refused as not run although an attempt may
// have run.
func checkNotRunTruthful(records Records, digests []digestItem) *Finding {
	f := newFinding(NotRunTruthful, "work that an endpoint ran without reporting it")
	var refusals, settled uint64
	for _, digest := range digests {
		refusals += digest.Answers.NotRun
		if digest.Answers.RanNotRun > 0 {
			f.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s refused %d requests as not run although an attempt may have run", digest.Daemon, digest.Answers.RanNotRun))
		}
	}
	for _, history := range records.Orders {
		for _, claims := range indexClaims(history).byKey {
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
		"actions of a service other than the calls that were sent to it",
	)
	var keys, ran, open, directRuns, byOperator uint64
	for _, history := range records.Orders {
		index := indexClaims(history)
		directRuns += index.directRuns
		byOperator += index.byOperator
		for _, claims := range index.byKey {
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
						"the key was run by two claims, at offsets %d and %d", first.item.Offset, claim.item.Offset))
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
	f.checked("orders run without a claim, by services that refuse repeats", directRuns)
	f.checked("orders settled by an operator", byOperator)
	f.checked("keys without a settled outcome", open)
	if open > 0 {
		f.NotKnown = append(f.NotKnown, fmt.Sprintf("whether %d orders without a settled outcome ran", open))
	}
	return f
}

func withinLifetime(first, second *orderClaim) bool {
	return second.item.Entry.Millis-first.item.Entry.Millis < first.LifetimeMillis
}
