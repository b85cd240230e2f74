package overload

import "time"

// Target is what a daemon knows of a group that serves the model.
type Target struct {
	Load    int           // requests in progress through all daemons
	MeanGap time.Duration // mean time between two events of a stream; 0: not known
}
