package peer

import "time"

// Bounds of the delay before the next dial attempt.
const (
	backoffBase = 100 * time.Millisecond
	backoffCap  = 5 * time.Second
)

// backoff returns the delay after a number of consecutive dial failures, with
// full jitter: uniform between zero and a bound that doubles with each failure.
// random is in [0, 1).
func backoff(failures int, random float64) time.Duration {
	bound := backoffCap
	if failures < 10 {
		bound = min(backoffCap, backoffBase<<failures)
	}
	return time.Duration(random * float64(bound))
}
