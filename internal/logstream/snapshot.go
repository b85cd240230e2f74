package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// snapshot is the body of a KindSnapshot record: the state after all records up to
// and including AsOf.
type snapshot struct {
	AsOf    infra.Offset           `cbor:"1,keyasint"`
	Writers map[string]writerState `cbor:"2,keyasint"` // excluding idle writers
	State   []byte                 `cbor:"3,keyasint"`
	Last    uint64                 `cbor:"4,keyasint"` // digest of the record at AsOf
}

// encodedSnapshot is a snapshot in its encoded form.
type encodedSnapshot struct {
	asOf   infra.Offset
	digest uint64
	body   []byte
}
