package fakes

// callOutcome is the outcome that a FaultyLog injects for one call.
type callOutcome int

const (
	callServed      callOutcome = iota
	callUnavailable             // fails without effect
	callRateLimited             // exceeds the append rate; no effect
	callLost                    // has no effect; reported as unknown outcome
	callDelayed                 // takes effect later; reported as unknown outcome
	callUnanswered              // takes effect; reported as unknown outcome
	callRepeated                // takes effect twice; reported as success
)

// appendOutcome maps a random sample in [0, 1) to the outcome of an append.
func (l LogFaults) appendOutcome(sample float64, down bool) callOutcome {
	switch {
	case down || selects(&sample, l.Unavailable):
		return callUnavailable
	case selects(&sample, l.Limited):
		return callRateLimited
	case selects(&sample, l.LoseRequest):
		return callLost
	case selects(&sample, l.Delay):
		return callDelayed
	case selects(&sample, l.LoseAnswer):
		return callUnanswered
	case selects(&sample, l.Repeat):
		return callRepeated
	default:
		return callServed
	}
}

// readOutcome maps a random sample in [0, 1) to the outcome of a read.
func (l LogFaults) readOutcome(sample float64, down bool) callOutcome {
	if down || selects(&sample, l.Unavailable) {
		return callUnavailable
	}
	return callServed
}

// selects subtracts probability from sample and reports whether the result is
// negative. Called for one outcome after the other, it selects each with its
// probability.
func selects(sample *float64, probability float64) bool {
	*sample -= probability
	return *sample < 0
}
