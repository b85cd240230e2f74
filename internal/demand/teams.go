package demand

import (
	"math"
	"time"
)

// teamBucket is the number of requests of a team in one interval of bucketWidth.
type teamBucket struct {
	number   int64
	requests float64
}

type teamBuckets [wholeBuckets + 1]teamBucket

// ObserveTeam counts a request of a team where its admission is decided. These counts are not told
// to other daemons.
func (c *Counter) ObserveTeam(service, model string, priority int, team string, now time.Time) {
	key := class{keyOf(service, model), uint8(min(max(priority, 0), math.MaxUint8))}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(now)
	if c.teams[key] == nil {
		c.teams[key] = map[string]*teamBuckets{}
	}
	ring := c.teams[key][team]
	if ring == nil {
		ring = &teamBuckets{}
		c.teams[key][team] = ring
	}
	number := c.bucketNumber(now)
	at := &ring[number%int64(len(ring))]
	if at.number < number {
		*at = teamBucket{number: number}
	}
	at.requests++
}

// Teams returns the requests of each team for a model at a priority over the last 2 s. A team without
// any is left out.
func (c *Counter) Teams(service, model string, priority int, now time.Time) map[string]float64 {
	key := class{keyOf(service, model), uint8(min(max(priority, 0), math.MaxUint8))}
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.bucketNumber(now)
	counts := map[string]float64{}
	for team, ring := range c.teams[key] {
		for _, b := range ring {
			if b.number >= newest-wholeBuckets && b.number <= newest {
				counts[team] += b.requests
			}
		}
		if counts[team] == 0 {
			delete(counts, team)
			delete(c.teams[key], team)
		}
	}
	return counts
}
