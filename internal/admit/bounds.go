package admit

import "time"

// Bounds limits the queue of a model.
type Bounds struct {
	QueueLength int           // maximum number of waiting requests of all teams
	QueueWait   time.Duration // maximum time that a request waits
}
