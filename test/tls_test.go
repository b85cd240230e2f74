package test

import (
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// adminStatus requests a daemon's admin status and returns the HTTP status code
// and the number of peers in the response, 0 and 0 when the request failed.
func adminStatus(client *http.Client, d *testbed.Daemon, token string) (code, peers int) {
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
	It("accept peers only with a certificate, and operators with a token or a certificate", func() {
		dir := GinkgoT().TempDir()
		own, foreign := testbed.NewAuthority(dir), testbed.NewAuthority(GinkgoT().TempDir())
		files := own.Issue(dir)
		bed := testbed.New()
		daemons := bed.StartDaemons(func(s *settings.Settings) { s.TLS = files }, north, north)
		foreignFiles := foreign.Issue(GinkgoT().TempDir())
		plain, certified := own.Client(nil), own.Client(&files)
		for _, d := range daemons {
			Eventually(func() int { _, peers := adminStatus(certified, d, ""); return peers }, meshTimeout, pollInterval).Should(Equal(2))
			code, peers := adminStatus(plain, d, testbed.AdminToken)
			Expect(code).To(Equal(http.StatusOK))
			Expect(peers).To(Equal(2))
			code, _ = adminStatus(plain, d, "")
			Expect(code).To(Equal(http.StatusUnauthorized))
			code, _ = adminStatus(own.Client(&foreignFiles), d, "")
			Expect(code).NotTo(Equal(http.StatusOK))

			_, err := plain.Get("https://" + d.PeerAddress() + "/peer")
			Expect(err).To(MatchError(ContainSubstring("certificate required")))
			response, err := plain.Get("https://" + d.CallerAddress() + "/v1/models")
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
		}
	})
})
