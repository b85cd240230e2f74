package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// smoothingTime is the time constant of the average: demand of the known deployments swings
	// over 11 to 15 s, and a change of groups takes about 5 s to have an effect.
	smoothingTime = 8 * time.Second
	// minObserved is the time for which demand must have been observed before it is used. The rates
	// of the first 2 s are those of daemons that have just begun to count.
	minObserved = 4 * time.Second
)

// Tracker smooths the demand for each model of each service over time. It is safe for concurrent
// use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*trackedService
}

// trackedService holds the smoothed demand for the models of one service.
type trackedService struct {
	since  time.Time // first demand
	last   time.Time // last observation
	weight float64   // of all observations; below 1 while they are few
	models map[string]Total
}

// NewTracker returns a Tracker that has observed nothing.
func NewTracker() *Tracker { return &Tracker{services: map[string]*trackedService{}} }

// Observe records the present demand for the models of a service. Demand of zero before the first
// requests is not recorded.
func (t *Tracker) Observe(service string, models map[string]Total, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.services[service]
	if tracked == nil {
		if !anyRequests(models) {
			return
		}
		tracked = &trackedService{since: now, last: now, models: map[string]Total{}}
		t.services[service] = tracked
		return // the next observation is weighted by the time since this one
	}
	kept := math.Exp(-now.Sub(tracked.last).Seconds() / smoothingTime.Seconds())
	tracked.last = now
	tracked.weight = tracked.weight*kept + 1 - kept
	smoothed := map[string]Total{}
	for name, total := range models {
		smoothed[name] = tracked.models[name].times(kept).plus(total.times(1 - kept))
	}
	tracked.models = smoothed
}

// Reset forgets all demand, because this daemon no longer knows that of the fleet.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.services)
}

// Smoothed returns the smoothed demand by model, nil while it has been observed for too short a
// time. ByPriority is not set.
func (t *Tracker) Smoothed(service string) map[string]Total {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.services[service]
	if tracked == nil || tracked.weight == 0 || tracked.last.Sub(tracked.since) < minObserved {
		return nil
	}
	models := make(map[string]Total, len(tracked.models))
	for name, total := range tracked.models {
		models[name] = total.times(1 / tracked.weight)
	}
	return models
}

func anyRequests(models map[string]Total) bool {
	for _, total := range models {
		if total.RequestsPerS > 0 {
			return true
		}
	}
	return false
}
