package targetstats

// LimitReport is the limit of an endpoint in the form in which daemons tell each other.
type LimitReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64   // hash of the endpoint's ID and incarnation
	Version  uint64   // a later value replaces those before it
	PerS     float64  // requests per second of all daemons together; -1: the endpoint names none any more
}
