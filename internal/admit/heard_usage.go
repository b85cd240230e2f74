package admit

import "time"

// heardUsage is the use of capacity that a peer told last.
type heardUsage struct {
	at    time.Time
	usage map[demandKey]TeamUsage
}
