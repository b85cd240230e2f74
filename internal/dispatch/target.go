package dispatch

import "time"

// Target is what a dispatcher knows of a group that may take a request.
type Target struct {
	Local        bool          // in the data centre of the dispatcher
	Slots        int           // requests that it runs concurrently
	Load         int           // requests in progress through all daemons, with those assigned since they were counted
	PromptTokens int           // of the requests assigned to it lately
	MeanGap      time.Duration // mean time between two events of a stream; 0: not known
	Slowdown     float64       // factor on its normal time that its endpoints report; 0: not reported
}
