package gossip

import "time"

// heardDigest is the newest digest of a data centre.
type heardDigest struct {
	Digest
	madeAt time.Time
}
