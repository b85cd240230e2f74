package config

import "time"

// Seconds is a duration in whole seconds.
type Seconds int

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(s) * time.Second
}
