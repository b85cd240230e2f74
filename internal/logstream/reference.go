package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// reference is the body of a KindReference record. It identifies a snapshot in the
// snapshot stream.
type reference struct {
	AsOf   infra.Offset `cbor:"1,keyasint"` // last offset that the snapshot covers
	At     infra.Offset `cbor:"2,keyasint"` // offset in the snapshot stream
	Digest uint64       `cbor:"3,keyasint"` // of the uncompressed snapshot
	Bytes  int          `cbor:"4,keyasint"` // size of the record that carries the snapshot
}

// asReference decodes the reference in the record at an offset. It returns false
// when the record is of another kind or invalid.
func asReference(entry Entry, at infra.Offset) (reference, bool) {
	var found reference
	if entry.Kind != KindReference || Unmarshal(entry.Body, &found) != nil || found.AsOf >= at {
		return reference{}, false
	}
	return found, true
}
