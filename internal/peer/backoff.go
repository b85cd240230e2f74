package peer

import "time"

// Bounds of the delay before a dial is repeated.
const (
	backoffBase = 100 * time.Millisecond
	backoffCap  = 5 * time.Second
)

// backoff returns the delay after a number of failed dials in a row, with full
// jitter: uniform between zero and an exponential bound. random is in [0, 1).
func backoff(failures int, random float64) time.Duration {
	bound := backoffCap
	if failures < 10 {
		bound = min(backoffCap, backoffBase<<failures)
	}
	return time.Duration(random * float64(bound))
}
