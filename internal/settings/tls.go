package settings

// TLS names the files of the certificates. Empty means plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"` // PEM file, of all listeners
	Key         string `yaml:"key,omitempty"`         // PEM file
	Authority   string `yaml:"authority,omitempty"`   // PEM file; peers and admins must hold a certificate of it
}
