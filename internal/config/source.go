package config

// Source says where a daemon received a configuration from.
type Source string

// Sources of a configuration.
const (
	FromLog  Source = "log"
	FromPeer Source = "peer"
)
