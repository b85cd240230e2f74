package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/plantainmux/plantainmux/internal/settings"
)

// tlsConfigs holds the TLS configurations of the listeners and of dialled
// links. All are nil if no certificate is configured.
type tlsConfigs struct {
	caller *tls.Config
	peer   *tls.Config // requires a client certificate signed by the authority, if one is configured
	admin  *tls.Config // accepts a client certificate signed by the authority in place of a token
	dial   *tls.Config // for links dialled to peers
}

// loadTLS loads the certificate, key and authority files of the settings.
func loadTLS(s settings.TLS) (tlsConfigs, error) {
	if s.Certificate == "" {
		return tlsConfigs{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return tlsConfigs{}, &TLSError{File: s.Certificate, Err: err}
	}
	base := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	configs := tlsConfigs{caller: base.Clone(), peer: base.Clone(), admin: base.Clone(), dial: base.Clone()}
	if s.Authority == "" {
		return configs, nil
	}
	authority, err := loadAuthority(s.Authority)
	if err != nil {
		return tlsConfigs{}, err
	}
	configs.peer.ClientCAs, configs.peer.ClientAuth = authority, tls.RequireAndVerifyClientCert
	configs.admin.ClientCAs, configs.admin.ClientAuth = authority, tls.VerifyClientCertIfGiven
	configs.dial.RootCAs = authority
	return configs, nil
}

func loadAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &TLSError{File: file, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &TLSError{File: file, Err: &NoCertificateError{}}
	}
	return pool, nil
}
