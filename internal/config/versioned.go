package config

import "github.com/plantainmux/plantainmux/internal/infra"

// Versioned is a configuration with its version, which is the log offset of the
// record that put it in force. Version 0 means that there is no configuration.
type Versioned struct {
	Version         infra.Offset `json:"version"`
	PublishedMillis int64        `json:"published_ms"` // publisher's clock, Unix milliseconds
	Configuration
}
