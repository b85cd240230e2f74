package catalog

import "time"

// Pace is the published model of how fast a group of a service works.
type Pace struct {
	Slots         int           // requests that run at once
	Stride        int           // token steps of a pass that has writers
	Chunk         int           // prompt tokens read in a step, at most
	Step          time.Duration // of one token step
	PerRequest    time.Duration // added to a step for each request that writes
	PerThousand   time.Duration // added for each 1,000 tokens of context of those
	ReadPerSecond float64       // prompt tokens
	PairsPerM     time.Duration // added for each million pairs of a prompt's tokens
	Form          time.Duration // from the order to open until a group serves
	LoadsPerS     float64       // loads that may start, over all VMs
	LoadsAtOnce   int           // loads that do not slow each other
	UsualPrompt   float64       // tokens, mean
	UsualAnswer   float64       // tokens, mean
}
