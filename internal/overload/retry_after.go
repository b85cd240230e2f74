package overload

import "time"

const (
	// refusalWindow is the time over which demand is counted, so that what was refused before is what
	// was refused within it.
	refusalWindow = 2 * time.Second

	// minRetryAfter is the shortest time after which a refused caller comes back: by then some of the
	// requests in progress have ended.
	minRetryAfter = 300 * time.Millisecond

	// usableShare is the part of the time to a request's deadline up to which callers wait for their
	// second attempt. Told to wait longer, they give up.
	usableShare = 1.0 / 3
)

// retryAfter returns the time in which the admitted fraction of the requests covers those that were
// refused before, with jitter, and whether that is more than a caller waits for; it is that part of
// the time then, which tells it that there is no room. A remaining time that is not known, 0, does not
// limit it beyond the window.
func retryAfter(fraction float64, remaining time.Duration, jitter float64) (after time.Duration, noRoom bool) {
	usable := time.Duration(usableShare * float64(remaining))
	if remaining <= 0 {
		usable = refusalWindow
	}
	if fraction*float64(usable) < (1-fraction)*float64(refusalWindow) {
		return usable, true
	}
	needed := time.Duration((1 - fraction) / fraction * float64(refusalWindow))
	return min(time.Duration(float64(max(needed, minRetryAfter))*(1+jitter/2)), usable), false
}
