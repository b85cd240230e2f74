package evidence

import "github.com/plantainmux/plantainmux/internal/platform"

// VersionInForce says when a daemon put a configuration in force.
type VersionInForce struct {
	Version platform.Offset `json:"version"`
	At      int64           `json:"at"` // Unix milliseconds
}
