package peer

// frameKind says what a frame carries.
type frameKind uint8

// Kinds of frames.
const (
	frameHeartbeat frameKind = iota
	frameState               // what the sender can reach
	framePublish             // soft state
	frameCall                // a call with one answer
	frameOpen                // a call with a stream of answers
	frameAccepted            // the streamed call has a handler
	frameAnswer              // one answer
	frameEnd                 // the stream of answers is whole
	frameFailure             // the call failed
	frameCancel              // the caller gave the call up
	frameCredit              // the caller takes more answers
	frameClock               // the sender's clock
)
