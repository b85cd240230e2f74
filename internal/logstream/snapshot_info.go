package logstream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// snapshotInfo describes the snapshot that a record carries or references.
type snapshotInfo struct {
	asOf   infra.Offset // last offset that the snapshot covers
	digest uint64       // of the encoded snapshot
	bytes  int          // size in the log
}

// snapshotInfoOf describes the snapshot that the record at an offset carries or
// references. It returns false when the record is of another kind or invalid.
func snapshotInfoOf(entry Entry, at infra.Offset) (snapshotInfo, bool) {
	if ref, ok := asReference(entry, at); ok {
		return snapshotInfo{asOf: ref.AsOf, digest: ref.Digest, bytes: ref.Bytes}, true
	}
	var carried struct {
		AsOf infra.Offset `cbor:"1,keyasint"`
	}
	if entry.Kind != KindSnapshot || Unmarshal(entry.Body, &carried) != nil || carried.AsOf >= at {
		return snapshotInfo{}, false
	}
	return snapshotInfo{asOf: carried.AsOf, digest: xxhash.Sum64(entry.Body), bytes: len(entry.Body)}, true
}
