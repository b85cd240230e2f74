package order

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Order is one non-idempotent call that is to run at most once.
type Order struct {
	Key            Key                  `cbor:"1,keyasint"`
	Addresses      []string             `cbor:"2,keyasint"` // endpoints of the service, best first
	Call           endpoint.ServiceCall `cbor:"3,keyasint"`
	Lifetime       time.Duration        `cbor:"4,keyasint"` // how long the key is kept
	Timeout        time.Duration        `cbor:"5,keyasint"` // from its arrival at a daemon on
	DeadlineMillis int64                `cbor:"6,keyasint"` // entry daemon's clock, Unix milliseconds
	RefusesRepeats bool                 `cbor:"7,keyasint"` // the service itself refuses a repeated key
	Again          bool                 `cbor:"8,keyasint"` // another daemon may have been given the order already
}

// clockSkewBound is how far the clocks of two daemons of a data centre may
// differ.
const clockSkewBound = 2 * time.Second

// deadlineAt returns the order's deadline by the clock of a daemon that got it
// at a time. An order that was held back on its way is late there too.
func (o Order) deadlineAt(now time.Time) time.Time {
	absolute := time.UnixMilli(o.DeadlineMillis).Add(clockSkewBound)
	// The sum keeps now's monotonic reading: a clock that is stepped back later
	// does not extend the deadline.
	return now.Add(min(o.Timeout, absolute.Sub(now)))
}

// claim returns the claim of the order.
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

// repeatUntil returns how long a repeat waits for the outcome: a short while,
// or all its time when it stands for a lost answer.
func (o Order) repeatUntil(now time.Time) time.Time {
	deadline := o.deadlineAt(now)
	if short := now.Add(repeatWait); !o.Again && short.Before(deadline) {
		return short
	}
	return deadline
}
