package order

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Order is a non-idempotent call that must run at most once.
type Order struct {
	Key            Key                  `cbor:"1,keyasint"`
	Addresses      []string             `cbor:"2,keyasint"` // endpoints of the service, in order of preference
	Call           endpoint.ServiceCall `cbor:"3,keyasint"`
	Lifetime       time.Duration        `cbor:"4,keyasint"` // retention of the key
	Timeout        time.Duration        `cbor:"5,keyasint"` // counted from the arrival at a daemon
	DeadlineMillis int64                `cbor:"6,keyasint"` // clock of the daemon that received the call, Unix milliseconds
	RefusesRepeats bool                 `cbor:"7,keyasint"` // the service itself rejects a repeated key
	MaybeForwarded bool                 `cbor:"8,keyasint"` // another daemon may already have received the order
}

// maxClockSkew is how far the clocks of two daemons of a data centre may differ.
const maxClockSkew = 2 * time.Second

// deadlineAt returns the deadline of an order that a daemon received at the given
// time, by that daemon's clock. The absolute deadline bounds it, so an order that
// was delayed on the way to the daemon gets no extra time.
func (o Order) deadlineAt(now time.Time) time.Time {
	absolute := time.UnixMilli(o.DeadlineMillis).Add(maxClockSkew)
	// Add preserves the monotonic reading of now, so a clock that is stepped back
	// later does not extend the deadline.
	return now.Add(min(o.Timeout, absolute.Sub(now)))
}

// claim returns the claim record for an attempt to run the order.
func (o Order) claim(deadline time.Time, attempt uint64) Claim {
	return Claim{
		Key:            o.Key,
		Fingerprint:    NewFingerprint(o.Call.Method, o.Call.Path, o.Call.Body),
		Method:         o.Call.Method,
		Path:           o.Call.Path,
		DeadlineMillis: deadline.UnixMilli(),
		LifetimeMillis: o.Lifetime.Milliseconds(),
		Attempt:        attempt,
	}
}

// repeatDeadline returns until when a repeat waits for the outcome: repeatWait from
// now, or its whole deadline if it was sent because the answer of another daemon
// was lost.
func (o Order) repeatDeadline(now time.Time) time.Time {
	deadline := o.deadlineAt(now)
	if short := now.Add(repeatWait); !o.MaybeForwarded && short.Before(deadline) {
		return short
	}
	return deadline
}
