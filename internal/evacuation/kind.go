package evacuation

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	Started Kind = "started"
	Ended   Kind = "ended"
	Held    Kind = "held" // a restored store contradicts what the daemon knows, which stays for HoldPeriod
)
