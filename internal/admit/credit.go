package admit

import (
	"math"
	"time"
)

const (
	// creditMemory is the time over which the use of a team is averaged.
	creditMemory = 5 * time.Second
	// creditPower is how strongly the average sways the share of the moment.
	creditPower = 4
	minCredit   = 0.5
	maxCredit   = 1.5
)

// credit averages how much of its share a team uses, so that one that used less
// may have more for a moment, and a team keeps its share although its requests
// come unevenly.
type credit struct {
	average float64 // of the use as a part of the share
	at      time.Time
}

// saw adds the use from the time of the last call on.
func (c *credit) saw(use float64, now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(c.at))/float64(creditMemory))
	c.average += (use - c.average) * weight
	c.at = now
}

// factor is what the share of the moment is multiplied by.
func (c *credit) factor() float64 {
	if c.average <= 0 {
		return maxCredit
	}
	return min(max(math.Pow(c.average, -creditPower), minCredit), maxCredit)
}
