package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// authority issues certificates for loopback.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(dir string) *authority {
	a := &authority{file: filepath.Join(dir, "authority.pem")}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate, a.key = a.sign(template, nil)
	writePEM(a.file, "CERTIFICATE", a.certificate.Raw)
	return a
}

// sign makes a certificate; a nil parent signs itself.
func (a *authority) sign(template, parent *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	signer := a.key
	if parent == nil {
		parent, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	return certificate, key
}

// issue writes a certificate for loopback and its key.
func (a *authority) issue(dir string) settings.TLS {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, key := a.sign(template, a.certificate)
	encoded, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := settings.TLS{Certificate: filepath.Join(dir, "daemon.pem"), Key: filepath.Join(dir, "daemon.key"), Authority: a.file}
	writePEM(files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(files.Key, "EC PRIVATE KEY", encoded)
	return files
}

// client returns an HTTP client that trusts the authority and shows the
// certificate of files, if any.
func (a *authority) client(files *settings.TLS) *http.Client {
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

// statusOver returns the HTTP status of the admin status and how many peers it
// tells.
func statusOver(client *http.Client, d *testbed.Daemon, token string) (code, peers int) {
	request, err := http.NewRequest(http.MethodGet, "https://"+d.AdminAddress()+"/admin/status", nil)
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	var status adminapi.Status
	_ = json.NewDecoder(response.Body).Decode(&status)
	return response.StatusCode, len(status.Peers)
}

var _ = Describe("Daemons with certificates", func() {
	It("link to each other only by them, and take a token or a certificate from operators", func() {
		dir := GinkgoT().TempDir()
		own, foreign := newAuthority(dir), newAuthority(GinkgoT().TempDir())
		files := own.issue(dir)
		bed := testbed.New()
		daemons := bed.StartDaemons(func(s *settings.Settings) { s.TLS = files }, north, north)
		foreignFiles := foreign.issue(GinkgoT().TempDir())
		plain, certified := own.client(nil), own.client(&files)
		for _, d := range daemons {
			Eventually(func() int { _, peers := statusOver(certified, d, ""); return peers }, waitMesh, tick).Should(Equal(2))
			code, peers := statusOver(plain, d, testbed.AdminToken)
			Expect(code).To(Equal(http.StatusOK))
			Expect(peers).To(Equal(2))
			code, _ = statusOver(plain, d, "")
			Expect(code).To(Equal(http.StatusUnauthorized))
			code, _ = statusOver(own.client(&foreignFiles), d, "")
			Expect(code).NotTo(Equal(http.StatusOK))

			_, err := plain.Get("https://" + d.PeerAddress() + "/peer")
			Expect(err).To(MatchError(ContainSubstring("certificate required")))
			response, err := plain.Get("https://" + d.CallerAddress() + "/v1/models")
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
		}
	})
})
