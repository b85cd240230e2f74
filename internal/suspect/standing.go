package suspect

// Standing is the treatment of a request.
type Standing int

// Standings of a request.
const (
	Clear    Standing = iota // no crash is known
	Isolated                 // it runs, but not on a group with other suspects
	Refused                  // it does not run
)
