package adminapi

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-resty/resty/v2"
)

// Access holds an operator's credentials and TLS trust for the admin addresses of
// daemons. Files are in PEM.
type Access struct {
	Token       string // bearer token; empty with a certificate
	Authority   string // file of the CA certificate that signs the daemons' certificates; empty for plain HTTP
	Certificate string // file of the operator's client certificate, signed by the same CA
	Key         string // file of the certificate's private key
}

// connect returns an HTTP client and the scheme of its URLs. It fails with a
// CredentialError if a file cannot be used.
func (a Access) connect(timeout time.Duration) (client *resty.Client, scheme string, err error) {
	client = resty.New().SetTimeout(timeout)
	if a.Token != "" {
		client.SetAuthToken(a.Token)
	}
	if a.Authority == "" && a.Certificate == "" {
		return client, "http://", nil
	}
	config, err := a.tlsConfig()
	if err != nil {
		return nil, "", err
	}
	return client.SetTLSClientConfig(config), "https://", nil
}

func (a Access) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.Authority != "" {
		data, err := os.ReadFile(a.Authority)
		if err != nil {
			return nil, &CredentialError{File: a.Authority, Err: err}
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return nil, &CredentialError{File: a.Authority}
		}
	}
	if a.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(a.Certificate, a.Key)
		if err != nil {
			return nil, &CredentialError{File: a.Certificate, Err: err}
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
