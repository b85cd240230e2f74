package forward

import "time"

// pooledLink is the link to one daemon.
type pooledLink struct {
	release  func()
	address  string // to which the link is established
	inFlight int
	usedAt   time.Time
	failedAt time.Time
}
