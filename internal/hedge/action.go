package hedge

// Action is what happens to an attempt in progress.
type Action string

// Actions. None of them but Withdraw ends the attempt.
const (
	Wait     Action = "wait"
	Withdraw Action = "withdraw" // end the attempt and the request, which crashes endpoints
	Silent   Action = "silent"   // send another attempt, since the target is silent
	Slow     Action = "slow"     // send another attempt, since this one takes too long
)

// Sends reports whether another attempt is to be sent.
func (a Action) Sends() bool { return a == Silent || a == Slow }
