package exchange

import (
	"math"
	"sync"
	"time"
)

// Fractions of the allowed budget that are used, since daemons learn of each
// other with a delay.
const (
	shareUsed = 0.85
	slackUsed = 0.8
)

// Budget is a token bucket that bounds the retries to one service (arrivals beyond
// the first of each request) over all daemons. Within any window a daemon can spend
// its saved tokens and those that it earns meanwhile, so each of the two is bounded
// by half of what the window allows.
type Budget struct {
	mu             sync.Mutex
	tokens         float64
	recentRequests float64 // exponentially decayed count, about one window
	share          float64 // tokens earned by each request
	slack          float64 // tokens per window for all daemons together, in addition to those earned
	window         time.Duration
	refilledAt     time.Time
}

// NewBudget returns a budget that allows a share of the requests plus slack retries
// in each window.
func NewBudget(share, slack float64, window time.Duration) *Budget {
	return &Budget{share: share * shareUsed / 2, slack: slack * slackUsed / 2, window: window}
}

// Earn counts a request and credits its tokens.
func (b *Budget) Earn(now time.Time, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, daemons)
	b.recentRequests++
	b.tokens = min(b.tokens+b.share, b.maxTokens(daemons))
}

// Take spends a token for one retry. It returns false if none is left.
func (b *Budget) Take(now time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, daemons)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the slack evenly over a window and decays the count of requests.
func (b *Budget) refill(now time.Time, daemons int) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens = b.maxTokens(daemons)
		return
	}
	windows := now.Sub(b.refilledAt).Seconds() / b.window.Seconds()
	b.recentRequests *= math.Exp(-windows)
	b.tokens = min(b.tokens+b.daemonSlack(daemons)*windows, b.maxTokens(daemons))
	b.refilledAt = now
}

// maxTokens returns the capacity of the bucket.
func (b *Budget) maxTokens(daemons int) float64 {
	return max(b.daemonSlack(daemons)+b.share*b.recentRequests, 1)
}

func (b *Budget) daemonSlack(daemons int) float64 { return b.slack / float64(max(daemons, 1)) }
