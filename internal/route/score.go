package route

import (
	"cmp"
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 500 * time.Millisecond
	// overflowWeight is how much more a request beyond the batch counts than one
	// in it: it waits for a whole answer.
	overflowWeight = 8
	// maxSlowness bounds how much worse a straggler may look.
	maxSlowness = 8
	// A group that failed an attempt within failureMemory counts as
	// failurePenalty times as loaded: an endpoint that fails fast looks idle.
	failureMemory  = 2 * time.Second
	failurePenalty = 8
)

// Scored is a group with its expected waiting; less is better.
type Scored struct {
	Group *view.Serving
	Wait  float64 // expected waiting, in requests for each one that runs at once
	Held  int     // leading blocks of the prompt that it probably caches
}

// Score rates each group by the requests before a new one, times how much
// slower than the fastest group it was observed to be.
func Score(groups []*view.Serving, reported, now time.Time) []Scored {
	fastest := fastestPace(groups)
	age := now.Sub(reported)
	scored := make([]Scored, 0, len(groups))
	for _, group := range groups {
		load := (waiting(group, age) + 1) / float64(max(group.Capacity, 1))
		wait := (load + max(load-1, 0)*overflowWeight) * slowness(group, fastest)
		if group.Load.FailedSince(now.Add(-failureMemory)) {
			wait *= failurePenalty
		}
		scored = append(scored, Scored{Group: group, Wait: wait})
	}
	return scored
}

// waiting is the own requests in progress plus those of other daemons, as far
// as a late report still tells.
func waiting(group *view.Serving, age time.Duration) float64 {
	own := group.Load.InFlight()
	others := max(group.Running+group.Waiting-own, 0)
	discount := float64(reportHalfLife) / float64(reportHalfLife+max(age, 0))
	return float64(own) + float64(others)*discount
}

func fastestPace(groups []*view.Serving) time.Duration {
	fastest := time.Duration(0)
	for _, group := range groups {
		pace := group.Load.NextToken()
		if pace > 0 && (fastest == 0 || pace < fastest) {
			fastest = pace
		}
	}
	return fastest
}

func slowness(group *view.Serving, fastest time.Duration) float64 {
	pace := group.Load.NextToken()
	if pace == 0 || fastest == 0 {
		return 1
	}
	return min(float64(pace)/float64(fastest), maxSlowness)
}

// compare orders groups by expected waiting, then by their identity.
func compare(a, b Scored) int {
	return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Group.Fencing, b.Group.Fencing))
}
