package admit

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// peersBudgetPerS is the number of bytes per second that a daemon may send to all peers.
	// Each peer needs otherBytesPerPeer of them for digests of reports, versions and clocks.
	peersBudgetPerS   = 5300
	otherBytesPerPeer = 62
	// minBudgetPerS is the minimum budget for usage updates, in bytes per second, in fleets where
	// the rest of the budget would be smaller.
	minBudgetPerS = 2048
	// updateBytes is the size of an update without changes, including its frame.
	updateBytes = 24
	// minRoom is the minimum space for changes in an update, in bytes.
	minRoom   = 24
	minPeriod = 100 * time.Millisecond
	// maxPeriod is less than peerTimeout, so that a daemon with many peers is not considered unresponsive.
	maxPeriod = 2500 * time.Millisecond
	// usageMessagesPerS is the maximum number of separate messages per second for usage
	// updates. Above it, updates are sent together with other messages.
	usageMessagesPerS = 60
	// unchangedInterval is the time between two updates without changes.
	unchangedInterval = time.Second
)

// usageSchedule is the period of usage updates and the space for changes in each, in bytes.
// It keeps the traffic within the budget for any number of daemons.
type usageSchedule struct {
	period time.Duration
	room   int
}

// scheduleFor returns the schedule for a number of daemons, including this one.
func scheduleFor(daemons int) usageSchedule {
	peers := max(daemons-1, 1)
	budget := max(peersBudgetPerS-peers*otherBytesPerPeer, minBudgetPerS)
	byBytes := time.Duration((updateBytes+minRoom)*peers) * time.Second / time.Duration(budget)
	byMessages := min(time.Duration(peers)*time.Second/usageMessagesPerS, peer.MaxWait)
	period := min(max(byBytes, byMessages, minPeriod), maxPeriod)
	size := int(period.Seconds() * float64(budget) / float64(peers))
	return usageSchedule{period: period, room: max(size-updateBytes, minRoom)}
}

// urgent reports whether updates are sent in separate messages. Other updates wait for the
// next message to each peer, for less than a period, so that the peers know an update
// before the next one is built.
func (s usageSchedule) urgent() bool { return s.period < peer.MaxWait }
