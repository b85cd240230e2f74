package admit

import "time"

// Bounds limit what waits before a model.
type Bounds struct {
	QueueLength int           // requests of all teams
	QueueWait   time.Duration // longest waiting of a request
}
