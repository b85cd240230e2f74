package order

import "time"

// SteadyClock returns a clock that starts at the system's time and is never
// stepped. It stands still while the machine is suspended.
func SteadyClock() func() time.Time {
	started := time.Now()
	return func() time.Time { return started.Add(time.Since(started)) }
}
