package catalog

import "time"

// PerformanceModel is the published performance model of a service's groups.
type PerformanceModel struct {
	Slots                    int           // maximum number of concurrent requests
	MemoryTokens             int           // context tokens that the memory of a group holds; 0: not published
	StepsPerPass             int           // token steps in a pass with requests that generate output
	PrefillChunkTokens       int           // maximum number of prompt tokens processed in a step
	StepDuration             time.Duration // base duration of a token step
	PerRequest               time.Duration // added to a step for each request that generates output
	PerThousandContextTokens time.Duration // added to a step for each 1,000 context tokens of those requests
	PrefillTokensPerSecond   float64       // prompt tokens processed per second
	PerMillionTokenPairs     time.Duration // added for each million pairs of prompt tokens
	GroupStartup             time.Duration // time from the order to open until a group serves
	LoadsPerSecond           float64       // limit on load starts per second over all VMs
	MaxConcurrentLoads       int           // number of concurrent loads that do not slow each other down
	MeanPromptTokens         float64       // mean prompt length in tokens
	MeanOutputTokens         float64       // mean output length in tokens
}
