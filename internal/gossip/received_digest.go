package gossip

import "time"

// receivedDigest is the newest digest received for a data centre.
type receivedDigest struct {
	Digest
	madeAt time.Time
}
