package targetstats

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// shareMargin is the number of sharing daemons that a limit must still bear beyond those that share
// it, for the time in which daemons disagree on who is registered or live.
const shareMargin = 2

// minUsedShare is the share of a limit's rate that daemons use who must all share it, so that each
// gets on however many they are.
const minUsedShare = 0.1

// SharePolicy is a limit on the requests of all daemons together to one endpoint. In any Window it
// bears PerS x Window x Overshoot + Slack requests. Each daemon that shares it has a token bucket of
// one, so that n of them send at most n + PerS x Window, heard or unheard of each other.
type SharePolicy struct {
	PerS      float64 // requests per second
	Window    time.Duration
	Overshoot float64 // factor
	Slack     float64 // requests
}

// Sharers returns how many daemons may share the limit, at least one.
func (p SharePolicy) Sharers() int {
	return max(int((p.Overshoot-1)*p.PerS*p.Window.Seconds())+int(p.Slack)-shareMargin, 1)
}

// Divisor returns the number by which a daemon divides the limit to get its own rate, 0 if it does
// not share it. The daemons that share it are chosen by the key among the candidates: all choose the
// same. The limit is divided as if at least known daemons were candidates.
func (p SharePolicy) Divisor(key string, candidates []string, known int, self string) int {
	sharers := p.Sharers()
	if !rendezvous.Chosen(key, candidates, min(len(candidates), sharers), self) {
		return 0
	}
	return min(max(len(candidates), known), sharers)
}

// Rate returns the rate of a daemon in requests per second, 0 if it does not share the limit.
func (p SharePolicy) Rate(key string, candidates []string, known int, self string) float64 {
	divisor := p.Divisor(key, candidates, known, self)
	if divisor == 0 {
		return 0
	}
	return p.PerS * min(p.Overshoot, 1) / float64(divisor)
}

// RateOfEach returns the rate of each of n daemons that all share the limit. If it does not bear as
// many, they use less of it together, but no less than minUsedShare.
func (p SharePolicy) RateOfEach(n int) float64 {
	sharers, window := float64(max(n, 1)), p.Window.Seconds()
	spare := (p.PerS*window*p.Overshoot + p.Slack - sharers) / window
	return max(min(p.PerS*min(p.Overshoot, 1), spare), minUsedShare*p.PerS) / sharers
}
