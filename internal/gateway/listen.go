package gateway

// Listen are the addresses of a daemon, IP and port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Metrics   string `yaml:"metrics,omitempty"` // empty: served only on FirstPort
	Host      string `yaml:"host"`              // IP address for the other daemons and for metrics
	FirstPort int    `yaml:"first_port"`        // first of the ports that daemons may use between each other
	LastPort  int    `yaml:"last_port"`
}
