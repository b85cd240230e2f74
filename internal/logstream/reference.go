package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// reference is the body of a KindReference record: a snapshot that stands in the
// stream of snapshots.
type reference struct {
	AsOf   infra.Offset `cbor:"1,keyasint"` // as that of the snapshot
	At     infra.Offset `cbor:"2,keyasint"` // offset in the stream of snapshots
	Digest uint64       `cbor:"3,keyasint"` // of the snapshot before its compression
	Bytes  int          `cbor:"4,keyasint"` // of the record that carries it
}

// asReference returns the reference of a record that stands at an offset.
func asReference(entry Entry, at infra.Offset) (reference, bool) {
	var found reference
	if entry.Kind != KindReference || Unmarshal(entry.Body, &found) != nil || found.AsOf >= at {
		return reference{}, false
	}
	return found, true
}
