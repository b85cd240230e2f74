package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// snapshot is the body of a KindSnapshot record: the state after all records
// up to and with AsOf.
type snapshot struct {
	AsOf    infra.Offset           `cbor:"1,keyasint"`
	Writers map[string]writerState `cbor:"2,keyasint"` // without the idle ones
	State   []byte                 `cbor:"3,keyasint"`
	Last    uint64                 `cbor:"4,keyasint"` // digest of the record at AsOf
}

// checkpoint is an encoded snapshot that was taken at a round offset.
type checkpoint struct {
	asOf   infra.Offset
	digest uint64
	body   []byte
}
