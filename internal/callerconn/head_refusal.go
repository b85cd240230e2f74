package callerconn

// headRefusal is why a head is not read any further.
type headRefusal int

const (
	headAllowed headRefusal = iota
	headTooLarge
	headWithoutMemory
)
