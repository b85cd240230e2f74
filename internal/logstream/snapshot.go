package logstream

import "github.com/plantainmux/plantainmux/internal/platform"

// snapshot is the body of a KindSnapshot record: the state after all records
// up to and with AsOf.
type snapshot struct {
	AsOf    platform.Offset   `cbor:"1,keyasint"`
	Writers map[string]uint64 `cbor:"2,keyasint"` // highest sequence number of each writer
	State   []byte            `cbor:"3,keyasint"`
}
