package adminapi

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-resty/resty/v2"
)

// Access is how an operator reaches the daemons and proves who they are. Files
// are in PEM.
type Access struct {
	Token       string // bearer token; empty with a certificate
	Authority   string // file of the authority of the daemons' certificates; empty for plain HTTP
	Certificate string // file of the operator's certificate of the same authority
	Key         string // file of its key
}

// connect returns an HTTP client and the scheme of its URLs.
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
