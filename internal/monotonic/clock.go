// Package monotonic provides a clock that is never stepped.
package monotonic

import "time"

// Clock returns a clock that starts at the system time, advances with the
// monotonic clock and is never stepped. It does not advance while the system is
// suspended.
func Clock() func() time.Time {
	started := time.Now()
	return func() time.Time { return started.Add(time.Since(started)) }
}
