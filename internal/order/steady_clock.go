package order

import "time"

// SteadyClock returns a clock that starts at the system time, advances with the
// monotonic clock and is never stepped. It does not advance while the system is
// suspended.
func SteadyClock() func() time.Time {
	started := time.Now()
	return func() time.Time { return started.Add(time.Since(started)) }
}
