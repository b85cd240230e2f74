package logstream

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Entry is the envelope of one record.
type Entry struct {
	Writer string          `cbor:"1,keyasint"`
	Seq    uint64          `cbor:"2,keyasint"` // starts at 1 and increases with each record of the writer
	Millis int64           `cbor:"3,keyasint"` // writer's clock, Unix milliseconds
	Kind   Kind            `cbor:"4,keyasint"`
	Body   cbor.RawMessage `cbor:"5,keyasint"`
	Since  infra.Offset    `cbor:"6,keyasint"` // last offset that the writer had applied when it encoded the record
}

// Time returns the time at which the record was encoded, by the writer's clock.
func (e Entry) Time() time.Time {
	return time.UnixMilli(e.Millis)
}
