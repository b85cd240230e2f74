package fakes

// callFate is what happens to one call of a faulty client.
type callFate int

const (
	fateServed      callFate = iota
	fateUnavailable          // refused without effect
	fateLimited              // refused by the rate, without effect
	fateLost                 // never arrives; the caller cannot tell
	fateDelayed              // takes effect later; the caller cannot tell
	fateUnanswered           // takes effect; the answer is lost
	fateRepeated             // takes effect twice
)

// ofAppend maps a number in [0, 1) to the fate of an append.
func (l LogFaults) ofAppend(chance float64, down bool) callFate {
	switch {
	case down || hit(&chance, l.Unavailable):
		return fateUnavailable
	case hit(&chance, l.Limited):
		return fateLimited
	case hit(&chance, l.LoseRequest):
		return fateLost
	case hit(&chance, l.Delay):
		return fateDelayed
	case hit(&chance, l.LoseAnswer):
		return fateUnanswered
	case hit(&chance, l.Repeat):
		return fateRepeated
	default:
		return fateServed
	}
}

// ofRead maps a number in [0, 1) to the fate of a read.
func (l LogFaults) ofRead(chance float64, down bool) callFate {
	if down || hit(&chance, l.Unavailable) {
		return fateUnavailable
	}
	return fateServed
}

// hit takes a chance off fate and reports whether it fell within it.
func hit(fate *float64, chance float64) bool {
	*fate -= chance
	return *fate < 0
}
