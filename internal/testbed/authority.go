package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/settings"
)

const certificateValidity = time.Hour // from now, into the past and into the future

// Authority is a certificate authority that issues certificates for loopback.
type Authority struct {
	File string // path of its own certificate, PEM

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority and writes its certificate into dir.
func NewAuthority(dir string) *Authority {
	a := &Authority{File: filepath.Join(dir, "authority.pem")}
	a.certificate, a.key = a.sign(&x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	})
	writePEM(a.File, "CERTIFICATE", a.certificate.Raw)
	return a
}

// sign creates a certificate and its key. The first one, the authority's own, is
// self-signed.
func (a *Authority) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	template.NotBefore = time.Now().Add(-certificateValidity)
	template.NotAfter = time.Now().Add(certificateValidity)
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	return certificate, key
}

// Issue writes a certificate for loopback and its key into dir and returns the
// paths. The certificate is valid for servers and clients.
func (a *Authority) Issue(dir string) settings.TLS {
	certificate, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	encoded, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := settings.TLS{Certificate: filepath.Join(dir, "daemon.pem"), Key: filepath.Join(dir, "daemon.key"), Authority: a.File}
	writePEM(files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(files.Key, "EC PRIVATE KEY", encoded)
	return files
}

// Client returns an HTTP client that trusts the authority and presents the
// certificate of files as client certificate; files may be nil.
func (a *Authority) Client(files *settings.TLS) *http.Client {
	config := &tls.Config{RootCAs: x509.NewCertPool()}
	config.RootCAs.AddCert(a.certificate)
	if files != nil {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		Expect(err).NotTo(HaveOccurred())
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

func writePEM(file, kind string, data []byte) {
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(Succeed())
}
