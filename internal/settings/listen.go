package settings

// Listen holds the addresses that a daemon listens on, each an IP address and
// port.
type Listen struct {
	Caller string `yaml:"caller"`
	Peer   string `yaml:"peer"`
	Admin  string `yaml:"admin"`
}
