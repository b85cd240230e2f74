package notice

// Notice is what one answer of an endpoint announces.
type Notice struct {
	Endpoint    string // ID
	Incarnation int64  // start time of the incarnation that was addressed, Unix milliseconds
	Leaving     bool   // the endpoint is leaving and must get no new work
	// RetryAfter is how long the endpoint wants no request of this daemon, as a decimal number of
	// seconds that has not been checked; empty if the answer is no rejection or names no time.
	RetryAfter string
	// Limit is how many requests a second the endpoint takes from all daemons together, as a decimal
	// number that has not been checked; empty if the answer names none.
	Limit string
	// ColdMS is how long the endpoint stays cold, as a decimal number of milliseconds that has not been
	// checked; empty if the answer does not say.
	ColdMS string
}

// Empty reports whether the answer announces nothing.
func (n Notice) Empty() bool {
	return !n.Leaving && n.RetryAfter == "" && n.Limit == "" && n.ColdMS == ""
}
