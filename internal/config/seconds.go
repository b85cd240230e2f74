package config

import "time"

// Seconds is a length of time in whole seconds.
type Seconds int

// Duration returns the length as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(s) * time.Second
}
