package route

import (
	"cmp"
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 500 * time.Millisecond
	// overflowWeight is the weight of a request beyond the batch capacity relative
	// to one within it, since it waits until another answer is complete.
	overflowWeight = 8
	// maxSlowness limits the slowness factor of a straggler.
	maxSlowness = 8
	// A group that failed an attempt within failureMemory counts as
	// failurePenalty times as loaded, since an endpoint that fails fast looks idle.
	failureMemory  = 2 * time.Second
	failurePenalty = 8
)

// Scored is a group with its expected wait.
type Scored struct {
	Group        *view.Serving
	Wait         float64 // expected wait, in pending requests per unit of capacity; lower is better
	CachedBlocks int     // leading blocks of the prompt that the group probably caches
}

// Score computes the expected wait of each group from its pending requests and its
// slowness relative to the fastest group. The load reports in use are from the time
// reported.
func Score(groups []*view.Serving, reported, now time.Time) []Scored {
	fastest := fastestTokenInterval(groups)
	age := now.Sub(reported)
	scored := make([]Scored, 0, len(groups))
	for _, group := range groups {
		load := (pendingRequests(group, age) + 1) / float64(max(group.Capacity, 1))
		wait := (load + max(load-1, 0)*overflowWeight) * slowness(group, fastest)
		if group.Load.FailedSince(now.Add(-failureMemory)) {
			wait *= failurePenalty
		}
		scored = append(scored, Scored{Group: group, Wait: wait})
	}
	return scored
}

// pendingRequests returns this daemon's requests in progress plus those of the other
// daemons, which are discounted by the age of the load report.
func pendingRequests(group *view.Serving, age time.Duration) float64 {
	own := group.Load.InFlight()
	others := max(group.Running+group.Waiting-own, 0)
	discount := float64(reportHalfLife) / float64(reportHalfLife+max(age, 0))
	return float64(own) + float64(others)*discount
}

func fastestTokenInterval(groups []*view.Serving) time.Duration {
	fastest := time.Duration(0)
	for _, group := range groups {
		interval := group.Load.NextToken()
		if interval > 0 && (fastest == 0 || interval < fastest) {
			fastest = interval
		}
	}
	return fastest
}

// slowness returns the token interval of a group as a multiple of the fastest one,
// at most maxSlowness; 1 if either is unknown.
func slowness(group *view.Serving, fastest time.Duration) float64 {
	interval := group.Load.NextToken()
	if interval == 0 || fastest == 0 {
		return 1
	}
	return min(float64(interval)/float64(fastest), maxSlowness)
}

// compare orders groups by expected wait, then by fencing number.
func compare(a, b Scored) int {
	return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Group.Fencing, b.Group.Fencing))
}
