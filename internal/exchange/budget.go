package exchange

import (
	"sync"
	"time"
)

// Budget bounds the arrivals at one service beyond the first of each request,
// over all daemons: each daemon holds an equal part of the slack.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	share  float64 // of a token that each request earns
	slack  float64 // tokens of all daemons at rest
	window time.Duration
	filled time.Time
}

// Parts of the allowed budget that are used, since daemons see each other late.
const (
	shareUsed = 0.85
	slackUsed = 0.8
)

// NewBudget returns a budget of a share of the requests and a slack for each
// window.
func NewBudget(share, slack float64, window time.Duration) *Budget {
	return &Budget{share: share * shareUsed, slack: slack * slackUsed, window: window}
}

// Earn notes a request.
func (b *Budget) Earn(now time.Time, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now, daemons)
	b.tokens = min(b.tokens+b.share, b.limit(daemons))
}

// Take takes a token for one more arrival, if there is one.
func (b *Budget) Take(now time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now, daemons)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill lets the slack flow in evenly over a window. Half of it is there at once:
// what lay unused and what flows in must not exceed the slack of one window.
func (b *Budget) fill(now time.Time, daemons int) {
	if b.filled.IsZero() {
		b.filled = now
		b.tokens = b.limit(daemons)
		return
	}
	flow := b.slack / 2 / float64(max(daemons, 1)) * now.Sub(b.filled).Seconds() / b.window.Seconds()
	b.tokens = min(b.tokens+flow, b.limit(daemons))
	b.filled = now
}

func (b *Budget) limit(daemons int) float64 {
	return max(b.slack/2/float64(max(daemons, 1)), 1)
}
