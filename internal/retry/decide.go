package retry

import "time"

// Limits for the retries of one request.
const (
	MaxAttempts = 4
	baseDelay   = 20 * time.Millisecond
	maxDelay    = time.Second
)

// Failure is the input of Decide: a failed attempt and the state of its request.
type Failure struct {
	Attempts    int  // attempts made so far
	Delivered   bool // part of the answer reached the caller
	Continuable bool // the model is deterministic: another group generates the same tokens
	Now         time.Time
	Deadline    time.Time
}

// Decide returns the delay before the next attempt, or the reason for making
// none. The budget is charged only for a retry that is allowed.
func Decide(f Failure, budget *Budget, random float64) (time.Duration, Denial) {
	if f.Delivered && !f.Continuable {
		return 0, Delivered
	}
	if f.Attempts >= MaxAttempts {
		return 0, NoAttempts
	}
	delay := Delay(f.Attempts, random)
	if !f.Now.Add(delay).Before(f.Deadline) {
		return 0, NoTime
	}
	if !budget.Take() {
		return 0, NoBudget
	}
	return delay, Allowed
}

// Delay returns the full-jitter delay after a number of attempts; random is in
// [0, 1).
func Delay(attempts int, random float64) time.Duration {
	ceiling := min(baseDelay<<max(attempts-1, 0), maxDelay)
	return time.Duration(random * float64(ceiling))
}
