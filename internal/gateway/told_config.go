package gateway

import "time"

// toldConfig is the highest version of the configuration that another daemon has told of.
type toldConfig struct {
	version int64
	heardAt time.Time // first time
}
