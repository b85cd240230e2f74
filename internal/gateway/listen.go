package gateway

// Listen are the addresses of a daemon, IP and port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Host      string `yaml:"host"`       // IP for the other daemons and for metrics
	FirstPort int    `yaml:"first_port"` // of the ports that the daemons may use among themselves
	LastPort  int    `yaml:"last_port"`
}
