package gateway

// Listen are the addresses of a daemon, IP and port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Metrics   string `yaml:"metrics,omitempty"` // empty: only on the first port of the daemons
	Host      string `yaml:"host"`              // IP for the other daemons and for metrics
	FirstPort int    `yaml:"first_port"`        // of the ports that the daemons may use among themselves
	LastPort  int    `yaml:"last_port"`
}
