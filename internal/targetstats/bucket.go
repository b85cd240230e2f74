package targetstats

import "time"

// maxLimitTokens is the number of requests that a daemon may send at once after a pause. With the
// number of daemons that share a limit it bounds what all of them send at once.
const maxLimitTokens = 1

// bucket is a token bucket of maxLimitTokens. It is not safe for concurrent use.
type bucket struct {
	rate       float64 // tokens per second
	tokens     float64
	refilledAt time.Time
}

// reset empties the bucket and stops it from filling.
func (b *bucket) reset() { b.tokens, b.rate = 0, 0 }

// setRate changes the rate from now on. A bucket that is not filled any more is emptied.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	if rate == 0 {
		b.tokens = 0
	}
}

// refill adds the tokens of the time that has passed. Goroutines may call it with times that are
// slightly out of order; none of it counts twice.
func (b *bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), maxLimitTokens)
		b.refilledAt = now
	}
}

// has reports whether there is a token.
func (b *bucket) has(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// wait returns how long it takes until there is a token, 0 if there is one or if there will be none.
func (b *bucket) wait(now time.Time) time.Duration {
	if b.has(now) || b.rate == 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}
