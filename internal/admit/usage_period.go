package admit

import "time"

const (
	// usageBudget is what a daemon may send of its usage, in bytes a second.
	usageBudget = 8 << 10
	minPeriod   = 100 * time.Millisecond
	// maxPeriod keeps a daemon that sends much from counting as silent.
	maxPeriod = 2500 * time.Millisecond
	// unchangedPeriod is how often a usage that did not change is sent.
	unchangedPeriod = time.Second
)

// usagePeriod returns the time between two messages of a size in bytes to the other
// daemons, so that what is sent stays inside the budget however many they are.
func usagePeriod(size, daemons int) time.Duration {
	cost := time.Duration(size*max(daemons-1, 0)) * time.Second
	return min(max(cost/usageBudget+1, minPeriod), maxPeriod)
}
