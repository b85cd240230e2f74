package placement

import "time"

// HeldFor returns how long it takes until the first of the targets that want no requests now
// takes one again, 0 if that is not known.
func HeldFor(targets []*Target, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, target := range targets {
		held := max(target.Hold.Remaining(now), target.Limit.Wait(now))
		if held > 0 && (shortest == 0 || held < shortest) {
			shortest = held
		}
	}
	return shortest
}
