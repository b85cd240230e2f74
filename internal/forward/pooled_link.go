package forward

import "time"

// pooledLink is the link to one daemon.
type pooledLink struct {
	release  func()
	inFlight int
	usedAt   time.Time
	failedAt time.Time
}
