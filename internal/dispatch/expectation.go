package dispatch

// expectation is what a request is expected to meet at a target.
type expectation struct {
	seconds float64 // to the first event
	load    float64 // requests in progress with this one, as a share of the slots
}

func (e expectation) less(other expectation) bool {
	if e.seconds != other.seconds {
		return e.seconds < other.seconds
	}
	return e.load < other.load
}
