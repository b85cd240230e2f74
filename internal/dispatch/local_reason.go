package dispatch

// LocalReason is why a daemon chooses the target of a request by itself.
type LocalReason string

// Reasons. The reasons of a dispatcher that declines are "declined_" and the Decline.
const (
	NoDispatcher LocalReason = "no_dispatcher" // it knows of none
	NoLink       LocalReason = "no_link"       // there is no link to it, or it takes no more calls
	TimedOut     LocalReason = "timeout"       // no answer within the time
	Paused       LocalReason = "paused"        // no answer was received a short time ago
	OldVersion   LocalReason = "old_version"   // the dispatcher does not know the call
	CallFailed   LocalReason = "failed"
	NoneUsable   LocalReason = "none_usable"    // the daemon knows of no healthy target
	UnknownKey   LocalReason = "unknown_target" // the daemon does not know the target of the answer
	Unusable     LocalReason = "unusable_target"
	FewerGroups  LocalReason = "fewer_groups" // a refusal that rests on fewer groups than the daemon can use
	Interrupted  LocalReason = "interrupted"  // groups without room, while others had streams that broke
)

// Declined returns the reason of a call that was declined.
func Declined(decline Decline) LocalReason { return LocalReason("declined_" + string(decline)) }
