package callerapi_test

import (
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

var _ = Describe("Copies of a suspect", func() {
	It("occupy no admission slots of their team while they wait to run isolated", func() {
		r := newRig(GinkgoT(), fakes.EngineOptions{VM: "vm", TokenDelay: 10 * time.Millisecond})
		post := func(body string) *http.Response {
			call, err := http.NewRequest(http.MethodPost, r.caller.URL()+"/v1/completions", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			call.Header.Set("Authorization", "Bearer key")
			response, err := http.DefaultClient.Do(call)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response
		}
		suspectBody := `{"model":"rig","prompt":"suspect","max_tokens":200}`
		r.suspects.RecordCrash(suspect.Subject{Fingerprint: request.Fingerprint(rigModel, "", []byte(suspectBody))}, 99, false)
		var all sync.WaitGroup
		outcomes := make([]string, 2*rigRequests)
		for i := range outcomes {
			all.Go(func() {
				defer GinkgoRecover()
				outcomes[i] = post(suspectBody).Header.Get(refusal.OutcomeHeader)
			})
		}
		Eventually(func() int { return len(r.engine.Events()) }, 10*time.Second, time.Millisecond).Should(BeNumerically(">", 1))
		time.Sleep(300 * time.Millisecond) // all copies have arrived; one runs for 2 s
		for range 10 {
			Expect(post(`{"model":"rig","prompt":"innocent","max_tokens":3}`).StatusCode).To(Equal(http.StatusOK))
		}
		all.Wait()
		done := 0
		for _, outcome := range outcomes {
			if outcome == string(refusal.Done) {
				done++
			}
		}
		Expect(done).To(BeNumerically(">", 0))
		Expect(done).To(BeNumerically("<=", 40)) // 32 may wait while one runs
		Expect(outcomes).NotTo(ContainElement(string(refusal.Unknown)))
	})
})
