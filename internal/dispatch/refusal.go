package dispatch

// Refusal is why a dispatcher refuses a request.
type Refusal string

// Refusals.
const (
	Overload Refusal = "overload" // the demand for the model exceeds what its groups complete
	NoRoom   Refusal = "no_room"  // all groups are full
)
