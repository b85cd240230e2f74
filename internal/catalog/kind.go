package catalog

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	Safe      Kind = iota // may run more than once
	Unsafe                // may run once for each attempt of the caller
	Streaming             // a series of events; as Unsafe unless it may be resumed
)

// String returns the name of the kind in logs and metrics.
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
