package settings

// TLS holds the paths of the certificate files. If they are empty, listeners use
// plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"` // PEM file with the certificate of all listeners
	Key         string `yaml:"key,omitempty"`         // PEM file with the certificate's private key
	Authority   string `yaml:"authority,omitempty"`   // PEM file with the CA certificate; peers and operators must present a certificate signed by it
}
