package suspect

// Standing says how a request is to be treated.
type Standing int

// Standings of a request.
const (
	Clear    Standing = iota // nothing is known against it
	Isolated                 // it runs, but not beside other suspects
	Refused                  // it crashed endpoints twice, the second time alone
)
