package catalog

import "time"

// Pace is the published performance model of a service's groups.
type Pace struct {
	Slots         int           // maximum number of concurrent requests
	Stride        int           // token steps in a pass with requests that generate output
	Chunk         int           // maximum number of prompt tokens processed in a step
	Step          time.Duration // base duration of a token step
	PerRequest    time.Duration // added to a step for each request that generates output
	PerThousand   time.Duration // added to a step for each 1,000 context tokens of those requests
	ReadPerSecond float64       // prompt tokens processed per second
	PairsPerM     time.Duration // added for each million pairs of prompt tokens
	Form          time.Duration // time from the order to open until a group serves
	LoadsPerS     float64       // limit on load starts per second over all VMs
	LoadsAtOnce   int           // number of concurrent loads that do not slow each other down
	UsualPrompt   float64       // mean prompt length in tokens
	UsualAnswer   float64       // mean output length in tokens
}
