package metric

// FrameFault is a protocol fault in a frame received from an endpoint.
type FrameFault string

// Faults of a frame.
const (
	OtherAttempt FrameFault = "other_attempt" // frame of another attempt; dropped
	Duplicate    FrameFault = "duplicate"     // frame received before; dropped
	Gap          FrameFault = "gap"           // earlier frames are missing; the stream is resumed
)

// FrameFaults lists all faults, each of which has a counter.
var FrameFaults = []FrameFault{OtherAttempt, Duplicate, Gap}
