package admit

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// peersBudget is what a daemon may send to all peers, in bytes a second.
	// Of it each peer takes otherBytes for digests of reports, versions and clocks.
	peersBudget = 5300
	otherBytes  = 62
	// leastBudget is what is left for usage among very many daemons.
	leastBudget = 2048
	// updateBytes is the size of an update without changes, with its frame.
	updateBytes = 24
	// leastRoom is the room for changes that an update has at least, in bytes.
	leastRoom = 24
	minPeriod = 100 * time.Millisecond
	// maxPeriod keeps a daemon that sends much from counting as silent.
	maxPeriod = 2500 * time.Millisecond
	// usageMessages is how many messages of their own a daemon may send for its
	// usage, a second. Beyond them the usage goes with other messages.
	usageMessages = 60
	// unchangedPeriod is how often an update without changes is sent.
	unchangedPeriod = time.Second
)

// usagePace is how often updates go and the bytes that each has for changes, so
// that what is sent stays inside the budget however many the daemons are.
type usagePace struct {
	period time.Duration
	room   int
}

func paceFor(daemons int) usagePace {
	peers := max(daemons-1, 1)
	budget := max(peersBudget-peers*otherBytes, leastBudget)
	byBytes := time.Duration((updateBytes+leastRoom)*peers) * time.Second / time.Duration(budget)
	byMessages := min(time.Duration(peers)*time.Second/usageMessages, peer.MaxWait)
	period := min(max(byBytes, byMessages, minPeriod), maxPeriod)
	size := int(period.Seconds() * float64(budget) / float64(peers))
	return usagePace{period: period, room: max(size-updateBytes, leastRoom)}
}

// urgent reports whether an update goes in a message of its own. Others wait for
// what else goes to a peer, for less than a period, so that the peers know one
// update by the time of the next.
func (p usagePace) urgent() bool { return p.period < peer.MaxWait }
