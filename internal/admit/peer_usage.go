package admit

import (
	"time"
)

// fetchDelay is the minimum time between two snapshot requests to the same peer. It is also
// the time for which a peer may use another version of the configuration before its
// snapshot is requested.
const fetchDelay = time.Second

// peerUsage is the usage that a peer has published.
type peerUsage struct {
	receivedAt  time.Time // time of the last update or snapshot
	usage       map[demandKey]TeamUsage
	numbers     *usageNumbers
	inSyncAt    time.Time // last time at which usage matched what the peer had published
	requestedAt time.Time // time of the last snapshot request
}

// apply applies an update. It reports whether a snapshot has to be fetched because changes
// were lost, or because this daemon has not been able to resolve the peer's numbers for
// fetchDelay.
func (p *peerUsage) apply(update usageUpdate, numbers *usageNumbers, now time.Time) (fetch bool) {
	p.receivedAt = now
	if p.numbers != numbers {
		p.numbers = numbers
		numbers.prune(p.usage)
	}
	readable := update.Version == numbers.version
	if readable {
		p.applyChanges(update.Changes)
	}
	if digestOf(p.usage) == update.Digest {
		p.inSyncAt = now
		return false
	}
	fetch = now.Sub(p.requestedAt) >= fetchDelay && (readable || now.Sub(p.inSyncAt) >= fetchDelay)
	if fetch {
		p.requestedAt = now
	}
	return fetch
}

func (p *peerUsage) applyChanges(changes []byte) {
	reader := changeReader{data: changes}
	for {
		number, usage, ok := reader.next()
		if !ok {
			return
		}
		key, ok := p.numbers.key(number)
		switch {
		case !ok:
		case usage.Running+usage.Waiting == 0:
			delete(p.usage, key)
		default:
			p.usage[key] = usage
		}
	}
}
