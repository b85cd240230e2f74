package admit

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// usageBudget is what a daemon may send of its usage, in bytes a second.
	usageBudget = 8 << 10
	minPeriod   = 100 * time.Millisecond
	// usageMessages is how many messages of their own a daemon may send for its
	// usage, a second. Beyond them the usage goes with other messages.
	usageMessages = 60
	// maxPeriod keeps a daemon that sends much from counting as silent.
	maxPeriod = 2500 * time.Millisecond
	// unchangedPeriod is how often a usage that did not change is sent.
	unchangedPeriod = time.Second
)

// usagePeriod returns the time between two messages of a size in bytes to the other
// daemons, so that what is sent stays inside the budget however many they are.
func usagePeriod(size, daemons int) time.Duration {
	peers := time.Duration(max(daemons-1, 0))
	byBytes := time.Duration(size)*peers*time.Second/usageBudget + 1
	byMessages := min(peers*time.Second/usageMessages, peer.MaxWait)
	return min(max(byBytes, byMessages, minPeriod), maxPeriod)
}
