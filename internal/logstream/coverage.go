package logstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// coverage is what a record tells of a snapshot.
type coverage struct {
	asOf   infra.Offset
	digest uint64
	bytes  int
}

// coverageOf returns what a record at an offset tells of the snapshot that it
// carries or names.
func coverageOf(entry Entry, at infra.Offset) (coverage, bool) {
	if named, ok := asReference(entry, at); ok {
		return coverage{asOf: named.AsOf, digest: named.Digest, bytes: named.Bytes}, true
	}
	var carried struct {
		AsOf infra.Offset `cbor:"1,keyasint"`
	}
	if entry.Kind != KindSnapshot || Unmarshal(entry.Body, &carried) != nil || carried.AsOf >= at {
		return coverage{}, false
	}
	return coverage{asOf: carried.AsOf, digest: xxhash.Sum64(entry.Body), bytes: len(entry.Body)}, true
}
