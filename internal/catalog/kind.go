package catalog

// Kind says whether the requests of a route may be executed more than once.
type Kind int

// Kinds of routes.
const (
	Safe      Kind = iota // may run more than once
	Unsafe                // may run at most once per attempt of the caller
	Streaming             // answered by an event stream; like Unsafe unless the route is resumable
)

// String returns the name of the kind as used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}
