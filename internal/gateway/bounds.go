package gateway

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// Bounds are the time and retry limits that the platform sets.
type Bounds struct {
	GraceS          float64  `yaml:"grace_s"`             // seconds from the stop signal until the process is killed
	StabilityMS     int      `yaml:"stability_window_ms"` // ms without changes until the fleet counts as stable
	ConfigurationMS int      `yaml:"configuration_ms"`    // ms within which a new version must be applied
	EvacuationMS    *int     `yaml:"evacuation_ms"`       // ms within which an evacuation must be in force; nil: not given
	RetryShare      float64  `yaml:"retry_share"`         // attempts beyond the first, as a share of the requests
	RetrySlack      float64  `yaml:"retry_slack"`         // further attempts allowed in each window
	RetryWindowS    float64  `yaml:"retry_window_s"`
	StallMS         *float64 `yaml:"stall_ms"` // accepted for settings of earlier versions; it has no effect
	// In any second, a cold endpoint bears the requests that it takes x ColdOvershoot + ColdSlack.
	// Without an overshoot above 0 nothing limits the requests to cold endpoints.
	ColdOvershoot *float64 `yaml:"cold_overshoot"`
	ColdSlack     *float64 `yaml:"cold_slack"` // requests; nil: none
	// In any LoadWindowS seconds, the loads that a service allows x LoadOvershoot may begin, and a few more.
	LoadWindowS   *float64 `yaml:"load_window_s"`  // nil: defaultLoadWindow
	LoadOvershoot *float64 `yaml:"load_overshoot"` // nil: 1
}

const (
	defaultLoadWindow = 5 * time.Second // of deployments that set one
	loadSlack         = 3               // loads in each window, by the platform's rules
)

// loadLimit returns the limit on the loads that all daemons begin, but for the rate of the service.
func (b Bounds) loadLimit() targetstats.SharePolicy {
	policy := targetstats.SharePolicy{Window: defaultLoadWindow, Overshoot: 1, Slack: loadSlack}
	if b.LoadWindowS != nil && *b.LoadWindowS > 0 {
		policy.Window = time.Duration(*b.LoadWindowS * float64(time.Second))
	}
	if b.LoadOvershoot != nil && *b.LoadOvershoot > 0 {
		policy.Overshoot = *b.LoadOvershoot
	}
	return policy
}

// limitsCold reports whether requests to cold endpoints are limited.
func (b Bounds) limitsCold() bool { return b.ColdOvershoot != nil && *b.ColdOvershoot > 0 }

// coldPolicy returns how daemons share a cold endpoint that takes perS requests per second.
func (b Bounds) coldPolicy(perS float64) targetstats.SharePolicy {
	policy := targetstats.SharePolicy{PerS: perS, Window: time.Second, Overshoot: *b.ColdOvershoot}
	if b.ColdSlack != nil {
		policy.Slack = *b.ColdSlack
	}
	return policy
}

func (b Bounds) grace() time.Duration {
	return time.Duration(b.GraceS * float64(time.Second))
}

// configWait returns the maximum wait of a long poll for the configuration. The
// store does not wake a poll when compaction removes the records that it waits
// for, so that the poll has to end early enough to meet ConfigurationMS and EvacuationMS.
func (b Bounds) configWait() time.Duration {
	shortest := b.ConfigurationMS
	if b.EvacuationMS != nil && *b.EvacuationMS > 0 && (shortest <= 0 || *b.EvacuationMS < shortest) {
		shortest = *b.EvacuationMS
	}
	wait := time.Duration(configPollShare * float64(shortest) * float64(time.Millisecond))
	if wait <= 0 {
		return longPollWait
	}
	return min(wait, longPollWait)
}
