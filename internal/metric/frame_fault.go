package metric

// FrameFault says what was wrong with a frame of an endpoint.
type FrameFault string

// Faults of a frame.
const (
	OtherAttempt FrameFault = "other_attempt" // it belongs to another attempt; dropped
	Duplicate    FrameFault = "duplicate"     // it came before; dropped
	Gap          FrameFault = "gap"           // frames before it are missing; the stream is resumed
)

// FrameFaults lists every fault, for the metrics page.
var FrameFaults = []FrameFault{OtherAttempt, Duplicate, Gap}
