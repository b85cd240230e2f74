package config

// Source says where a daemon learned a configuration.
type Source string

// Sources of a configuration.
const (
	FromLog  Source = "log"
	FromPeer Source = "peer"
)
