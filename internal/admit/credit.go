package admit

import (
	"math"
	"time"
)

const (
	// creditWindow is the time constant of the moving average of a team's utilisation.
	creditWindow = 5 * time.Second
	// creditPower is the exponent that converts the average utilisation to a factor on the share.
	creditPower = 4
	minCredit   = 0.5
	maxCredit   = 1.5
)

// credit keeps a moving average of how much of its share a team uses. A team that used
// less than its share recently gets a temporarily larger one, so that it reaches its
// share on average even if its requests arrive unevenly.
type credit struct {
	average float64   // of the utilisation: the used part of the share
	at      time.Time // time of the last observation
}

// observe adds the utilisation since the last call to the average.
func (c *credit) observe(use float64, now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(c.at))/float64(creditWindow))
	c.average += (use - c.average) * weight
	c.at = now
}

// factor returns the factor by which the team's current share is multiplied.
func (c *credit) factor() float64 {
	if c.average <= 0 {
		return maxCredit
	}
	return min(max(math.Pow(c.average, -creditPower), minCredit), maxCredit)
}
