package gateway

import (
	"time"
)

// Bounds are the platform's bounds.
type Bounds struct {
	GraceS          float64 `yaml:"grace_s"`             // from the signal to stop to the end
	StabilityMS     int     `yaml:"stability_window_ms"` // for which calm must have lasted
	ConfigurationMS int     `yaml:"configuration_ms"`    // in which a version must be in force
	RetryShare      float64 `yaml:"retry_share"`         // arrivals beyond the first, of the requests
	RetrySlack      float64 `yaml:"retry_slack"`         // arrivals beyond those, of a window
	RetryWindowS    float64 `yaml:"retry_window_s"`
}

func (b Bounds) grace() time.Duration {
	return time.Duration(b.GraceS * float64(time.Second))
}

// configWait returns the longest long poll for what must be known within a bound.
// A poll is not woken when the history is dropped under it, so that its own end
// has to come in time.
func (b Bounds) configWait() time.Duration {
	wait := time.Duration(configShare * float64(b.ConfigurationMS) * float64(time.Millisecond))
	if wait <= 0 {
		return seldomWait
	}
	return min(wait, seldomWait)
}
