package reach

// minFailing is the number of endpoints that must have failed in a row before a daemon may count
// as cut off, unless it knows fewer: a crash takes one endpoint, or two that failed by chance.
const minFailing = 3

// Evidence is what a daemon's own failures and the other daemons tell of the endpoints.
type Evidence struct {
	Failing int // endpoints that failed since the last contact with any
	Silent  int // of these, endpoints that accepted a connection and answered nothing
	Vouched int // of these, endpoints that other daemons have reached since they failed
	Known   int // endpoints that serve requests
}

// cutOff reports whether the links of the daemon explain its failures better than the endpoints
// do: enough endpoints fail in a row, and others reach at least half of those.
func (e Evidence) cutOff() bool {
	required := max(min(minFailing, e.Known), 1)
	return e.Failing >= required && 2*e.Vouched >= required
}
