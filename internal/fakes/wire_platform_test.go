package fakes

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The platform for scripts", func() {
	var server *httptest.Server
	call := func(method, path, body string) (status int, text string) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		answer, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		content, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		return answer.StatusCode, string(content)
	}
	var platform *WirePlatform
	BeforeEach(func() {
		var err error
		platform, err = StartWirePlatform([]string{"n"}, 1)
		Expect(err).NotTo(HaveOccurred())
		server = httptest.NewServer(platform)
		DeferCleanup(server.Close)
	})

	// Guards against scripts that check an evacuation that was never written, or never deleted.
	It("writes and deletes records of the operators where daemons read them", func() {
		newest := func() string {
			_, text := call(http.MethodGet, "/api/log-newest?topic=keyed.op", "")
			return text
		}
		status, at := call(http.MethodPut, "/fake/operators/evacuate/n", "{}")
		Expect(status).To(Equal(200))
		Expect(at).To(MatchRegexp(`^\d{13}\n$`))
		Expect(newest()).To(ContainSubstring("evacuate/n"))
		_, value := call(http.MethodGet, "/fake/operators/evacuate/n", "")
		Expect(value).To(Equal("{}"))
		call(http.MethodDelete, "/fake/operators/evacuate/n", "")
		Expect(newest()).NotTo(ContainSubstring("evacuate/n"))
	})

	// Guards against bounds that hold because nothing is counted, or because nothing restarted.
	It("counts arrivals, and restarts an endpoint cold at its address", func() {
		address := platform.engines["n-desk"].listener.Addr().String()
		ask := func() (cold string, err error) {
			answer, err := http.Get("http://" + address + "/order/x")
			if err != nil {
				return "", err
			}
			_ = answer.Body.Close()
			return answer.Header.Get("Cold-Remaining-Ms"), nil
		}
		Expect(ask()).To(BeEmpty())
		go call(http.MethodPost, "/fake/restart?endpoint=n-desk&down_ms=300&cold_ms=3000", "")
		Eventually(func() error { _, err := ask(); return err }, "250ms", "10ms").Should(HaveOccurred())
		Eventually(ask, "2s", "10ms").ShouldNot(BeEmpty())
		_, arrivals := call(http.MethodGet, "/fake/arrivals", "")
		Expect(arrivals).To(MatchRegexp(`^(n n-desk \d{13}\n){2,}$`))
	})
})
