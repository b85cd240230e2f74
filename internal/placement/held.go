package placement

import "time"

// HeldFor returns how long it takes until the first of the targets that want no requests for a
// time takes them again, 0 if there is none.
func HeldFor(targets []*Target, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, target := range targets {
		held := target.Hold.Remaining(now)
		if held > 0 && (shortest == 0 || held < shortest) {
			shortest = held
		}
	}
	return shortest
}
