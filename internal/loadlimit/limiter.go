package loadlimit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// Limiter keeps the loads of models that this daemon begins within its share of the limit that all planners
// have, without word of each other. It answers the load of many engines that are added at once. It is
// not safe for concurrent use.
type Limiter struct {
	limiter *rate.Limiter  // nil: this daemon plans nothing
	counts  []plannerCount // of the last window, rising in time and falling in number
}

// plannerCount is the number of planners that a daemon knew at a time.
type plannerCount struct {
	at       time.Time
	planners int
}

// Update sets the limit, the number of planners and whether this daemon is one of them. A daemon that
// begins to plan has nothing at hand, as the planner before it may have used its share.
func (l *Limiter) Update(limit targetstats.SharePolicy, planners int, plans bool, now time.Time) {
	share := rate.Limit(limit.RateOfEach(l.mostPlanners(planners, limit.Window, now)))
	switch {
	case !plans:
		l.limiter = nil
	case l.limiter == nil:
		l.limiter = rate.NewLimiter(share, 1)
		l.limiter.AllowN(now, 1)
	default:
		l.limiter.SetLimitAt(now, share)
	}
}

// mostPlanners returns the largest number of planners in the last window: others may learn later than
// this daemon that there are fewer.
func (l *Limiter) mostPlanners(planners int, window time.Duration, now time.Time) int {
	kept := l.counts[:0]
	for _, count := range l.counts {
		if now.Sub(count.at) < window && count.planners > planners {
			kept = append(kept, count)
		}
	}
	l.counts = append(kept, plannerCount{at: now, planners: planners})
	return l.counts[0].planners
}

// Allow reports whether a load may begin, and counts it.
func (l *Limiter) Allow(now time.Time) bool {
	return l.limiter != nil && l.limiter.AllowN(now, 1)
}
