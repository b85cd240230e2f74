package demand

import (
	"math"
	"sync"
	"time"
)

const (
	bucketWidth = 250 * time.Millisecond
	// wholeBuckets cover the 2 s over which rates are taken: long enough that a daemon with one
	// request per second does not report all or nothing, short beside the smoothing of the planner.
	wholeBuckets = 8
	// maxTokens bounds what one request counts: more than any model's context, so that one wrong
	// header does not change the mean of all requests.
	maxTokens = 1 << 20
)

// Counter counts the requests of this daemon by service, model and priority. The zero value is
// ready for use. Callers observe only models of the configuration, which bounds its size.
type Counter struct {
	mu      sync.Mutex
	classes map[class]*[wholeBuckets + 1]bucket
	teams   map[class]map[string]*teamBuckets
	started time.Time // of the first observation
}

// bucket holds the counts of one interval of bucketWidth.
type bucket struct {
	number int64 // intervals since the first observation
	counts rates
}

// Observe counts a request at its arrival. Only first attempts of callers count. outputTokens is 0
// if it is not known.
func (c *Counter) Observe(service, model string, priority, promptTokens, outputTokens int, now time.Time) {
	observed := rates{requests: 1, promptTokens: float64(min(max(promptTokens, 0), maxTokens))}
	if outputTokens > 0 {
		observed.withOutput, observed.outputTokens = 1, float64(min(outputTokens, maxTokens))
	}
	key := class{keyOf(service, model), uint8(min(max(priority, 0), math.MaxUint8))}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(now)
	ring := c.classes[key]
	if ring == nil {
		ring = &[wholeBuckets + 1]bucket{}
		c.classes[key] = ring
	}
	number := c.bucketNumber(now)
	at := &ring[number%int64(len(ring))]
	if at.number < number {
		*at = bucket{number: number}
	}
	at.counts = at.counts.plus(observed)
}

func (c *Counter) start(now time.Time) {
	if c.started.IsZero() {
		c.started = now
		c.classes = map[class]*[wholeBuckets + 1]bucket{}
		c.teams = map[class]map[string]*teamBuckets{}
	}
}

// Reports returns the rates over the last 2 s. A class without requests in that time is left out.
func (c *Counter) Reports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started.IsZero() {
		return nil
	}
	newest := c.bucketNumber(now)
	seconds := (now.Sub(c.started) - time.Duration(newest-wholeBuckets)*bucketWidth).Seconds() // 2 s and the current bucket
	sums := map[class]rates{}
	for key, ring := range c.classes {
		sum := rates{}
		for _, b := range ring {
			if b.number >= newest-wholeBuckets && b.number <= newest {
				sum = sum.plus(b.counts)
			}
		}
		if sum.requests == 0 {
			delete(c.classes, key)
			continue
		}
		sums[key] = sum.per(seconds)
	}
	return reportsOf(sums)
}

// bucketNumber returns the number of the interval of a time. Times are monotonic; one that is
// before the first observation counts to the first interval.
func (c *Counter) bucketNumber(now time.Time) int64 {
	return max(int64(now.Sub(c.started)/bucketWidth), 0)
}
