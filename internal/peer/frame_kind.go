package peer

// frameKind is the type of a frame.
type frameKind uint8

// Types of frames.
const (
	frameHeartbeat frameKind = iota
	frameState               // state of the sender: whether it is leaving, and what it can reach
	framePublish             // soft state
	frameCall                // a call with one answer
	frameOpen                // a call with a stream of answers
	frameAccepted            // the streamed call has been accepted
	frameAnswer              // one answer
	frameEnd                 // the call or stream is complete
	frameFailure             // the call failed
	frameCancel              // the caller cancelled the call
	frameCredit              // the caller accepts more answers
	frameClock               // clock reading of the sender
)
