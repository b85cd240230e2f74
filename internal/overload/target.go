package overload

import "time"

// Target is what a daemon knows of a group that serves the model.
type Target struct {
	Load     int           // requests in progress through all daemons
	MeanGap  time.Duration // mean time between two events of a stream; 0: not known
	Slowdown float64       // factor on its normal time that its endpoints report; 0: not reported
	MaxRate  float64       // requests per second that it takes from all daemons together; 0: no limit
}
