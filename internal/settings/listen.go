package settings

// Listen gives the addresses that a daemon listens on, each an IP number and a
// port.
type Listen struct {
	Caller string `yaml:"caller"`
	Peer   string `yaml:"peer"`
	Admin  string `yaml:"admin"`
}
