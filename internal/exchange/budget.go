package exchange

import (
	"math"
	"sync"
	"time"
)

// Parts of the allowed budget that are used, since daemons see each other late.
const (
	shareUsed = 0.85
	slackUsed = 0.8
)

// Budget bounds the arrivals at one service beyond the first of each request,
// over all daemons. Within any window a daemon may use what it has saved and what
// it earns meanwhile; each is bounded by half of what the window allows.
type Budget struct {
	mu       sync.Mutex
	tokens   float64
	requests float64 // of about the last window
	share    float64 // tokens that a request earns
	slack    float64 // tokens of all daemons for a window, beside those earned
	window   time.Duration
	filled   time.Time
}

// NewBudget returns a budget of a share of the requests and a slack for each
// window.
func NewBudget(share, slack float64, window time.Duration) *Budget {
	return &Budget{share: share * shareUsed / 2, slack: slack * slackUsed / 2, window: window}
}

// Earn notes a request.
func (b *Budget) Earn(now time.Time, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now, daemons)
	b.requests++
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

// fill lets the slack flow in evenly over a window, and forgets old requests.
func (b *Budget) fill(now time.Time, daemons int) {
	if b.filled.IsZero() {
		b.filled = now
		b.tokens = b.limit(daemons)
		return
	}
	windows := now.Sub(b.filled).Seconds() / b.window.Seconds()
	b.requests *= math.Exp(-windows)
	b.tokens = min(b.tokens+b.slackOf(daemons)*windows, b.limit(daemons))
	b.filled = now
}

// limit is what may be saved.
func (b *Budget) limit(daemons int) float64 {
	return max(b.slackOf(daemons)+b.share*b.requests, 1)
}

func (b *Budget) slackOf(daemons int) float64 { return b.slack / float64(max(daemons, 1)) }
