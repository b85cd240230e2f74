package gateway

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// registerAgeGauges registers gauges for the age of the data that this daemon works
// with.
func (g *Gateway) registerAgeGauges() {
	for name, follower := range map[string]*keyed.Follower{
		"configuration": g.configs, "endpoints": g.entries, "groups": g.groups, "daemons": g.daemons,
	} {
		g.metrics.NewGauge(ageGauge(name), func() float64 { return followerAge(follower) })
	}
	g.metrics.NewGauge(ageGauge("other_daemons_load"), func() float64 { return g.gossip.Delay().Seconds() })
}

// followerAge returns the seconds since the follower was last known to be up to
// date with the store, or -1 if it has not been yet.
func followerAge(follower *keyed.Follower) float64 {
	if !follower.Booted() {
		return -1
	}
	return follower.Age(time.Now()).Seconds()
}

func ageGauge(name string) string {
	return fmt.Sprintf("plantainmux_belief_age_seconds{belief=%q}", name)
}
