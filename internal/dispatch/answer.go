package dispatch

// Answer is the answer to a Call. Exactly one of Target, Refused and Declined is set.
type Answer struct {
	Target       string  `cbor:"1,keyasint,omitempty"` // key of the target
	Refused      Refusal `cbor:"2,keyasint,omitempty"`
	RetryAfterMS int     `cbor:"3,keyasint,omitempty"` // of a refused request
	Declined     Decline `cbor:"4,keyasint,omitempty"` // the daemon chooses by itself

	// The decision under overload, for metrics and the log of the daemon.
	Limited  bool    `cbor:"5,keyasint,omitempty"` // only a fraction of the requests is admitted
	Fraction float64 `cbor:"6,keyasint,omitempty"`
	Load     float64 `cbor:"7,keyasint,omitempty"`
	Demand   float64 `cbor:"8,keyasint,omitempty"`
	Capacity float64 `cbor:"9,keyasint,omitempty"`

	Groups int `cbor:"10,keyasint,omitempty"` // that the answer rests on; 0: not told
}

// Outcome returns the kind of the answer, for metrics.
func (a Answer) Outcome() string {
	switch {
	case a.Target != "":
		return "placed"
	case a.Refused != "":
		return string(a.Refused)
	default:
		return "declined_" + string(a.Declined)
	}
}
