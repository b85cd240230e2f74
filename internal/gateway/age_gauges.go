package gateway

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// registerBeliefs serves the ages of what this daemon believes as gauges.
func (g *Gateway) registerBeliefs() {
	for belief, follower := range map[string]*keyed.Follower{
		"configuration": g.configs, "endpoints": g.entries, "groups": g.groups, "daemons": g.daemons,
	} {
		g.metrics.NewGauge(ageGauge(belief), func() float64 { return age(follower) })
	}
	g.metrics.NewGauge(ageGauge("other_daemons_load"), func() float64 { return g.gossip.Delay().Seconds() })
}

// age returns the seconds since the store was last known to hold no more than
// this daemon has read, -1 before the first time.
func age(follower *keyed.Follower) float64 {
	if !follower.Booted() {
		return -1
	}
	return follower.Age(time.Now()).Seconds()
}

func ageGauge(belief string) string {
	return fmt.Sprintf("plantainmux_belief_age_seconds{belief=%q}", belief)
}
