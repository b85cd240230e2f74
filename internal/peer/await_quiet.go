package peer

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// quietLooks is the number of looks within the period of awaitQuiet: few, as short calls that recur do not prolong it.
const quietLooks = 8

// awaitQuiet waits until idle has held for a period, as for an awake.Deadline: calls that arrived while this process
// stood still are read first. It returns false if ctx ends before.
func awaitQuiet(ctx context.Context, period time.Duration, idle func() bool) bool {
	until := time.Now().Add(period)
	quiet := awake.NewDeadline(until)
	for {
		isIdle, now := idle(), time.Now()
		if !isIdle {
			until = now.Add(period)
			quiet = awake.NewDeadline(until)
		}
		if quiet.Passed(now) {
			return true
		}
		next := period / quietLooks
		if !now.Before(until) {
			next = awake.LookInterval
		}
		if !wait.For(ctx, next) {
			return false
		}
	}
}
