package order

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// Record is the state of one key.
type Record struct {
	Claim         Claim                  `cbor:"1,keyasint"`
	Offset        infra.Offset           `cbor:"2,keyasint"` // of the claim in force
	Writer        string                 `cbor:"3,keyasint"`
	ClaimedMillis int64                  `cbor:"4,keyasint"` // writer's clock, Unix milliseconds
	ExpiresMillis int64                  `cbor:"5,keyasint"` // stream time at which the key is dropped
	State         State                  `cbor:"6,keyasint"`
	AnswerKept    bool                   `cbor:"7,keyasint,omitempty"`
	Answer        endpoint.ServiceAnswer `cbor:"8,keyasint,omitempty"`
	Direct        bool                   `cbor:"9,keyasint,omitempty"`  // was run without a claim
	DoubtedBy     fleet.DaemonID         `cbor:"10,keyasint,omitempty"` // daemon that marked it unclear
	DoubtedMillis int64                  `cbor:"11,keyasint,omitempty"`
	Operator      string                 `cbor:"12,keyasint,omitempty"` // operator who settled it by hand
	SettledMillis int64                  `cbor:"13,keyasint,omitempty"`
}

// overdue reports whether a claim is still unsettled at unclearAfter past its
// deadline.
func (r Record) overdue(now time.Time) bool {
	return r.State == Claimed && now.UnixMilli() >= r.Claim.DeadlineMillis+unclearAfter.Milliseconds()
}
