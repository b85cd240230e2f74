package callerapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

var _ = Describe("A completion", func() {
	const body = `{"model":"rig","prompt":"laid cream","max_tokens":3}`
	var r *rig

	BeforeEach(func() {
		r = newRig(GinkgoT(), fakes.EngineOptions{VM: "vm"})
	})
	post := func(body string, header ...string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, r.caller.URL()+"/v1/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer key")
		for i := 0; i+1 < len(header); i += 2 {
			request.Header.Set(header[i], header[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}
	started := func() int {
		count := 0
		for _, event := range r.engine.Events() {
			if event.Kind == fakes.EventStart {
				count++
			}
		}
		return count
	}
	expect := func(response *http.Response, reason refusal.Reason, outcome refusal.Outcome) {
		data, err := io.ReadAll(response.Body)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		ExpectWithOffset(1, string(data)).To(ContainSubstring(`"type":"` + string(reason) + `"`))
		ExpectWithOffset(1, response.Header.Get(refusal.OutcomeHeader)).To(Equal(string(outcome)))
	}

	It("is not sent to a group whose validity expired while the daemon was paused", func() {
		Expect(post(body).StatusCode).To(Equal(http.StatusOK))
		r.publish(time.Now())
		expect(post(body), refusal.NoCompleteGroup, refusal.NotRun)
		Expect(started()).To(Equal(1))
	})

	It("is not retried and does not mark the engine as failed when the engine rejects it", func() {
		r.engine.SetStreamFaults(fakes.StreamFaults{Status: http.StatusBadRequest})
		expect(post(body), refusal.EndpointRefused, refusal.Unknown)
		r.engine.SetStreamFaults(fakes.StreamFaults{Status: http.StatusInternalServerError})
		expect(post(body), refusal.RetriesExhausted, refusal.Unknown)
		Expect(r.failed).To(BeEmpty())
	})

	It("is refused with outcome not run when it is malformed or too large, names an unknown model, or has an invalid timeout", func() {
		expect(post(`{"model":`), refusal.Malformed, refusal.NotRun)
		expect(post(`{"model":"rig","prompt":"`+strings.Repeat("x", 2<<20)+`"}`), refusal.TooLarge, refusal.NotRun)
		expect(post(`{"model":"other"}`), refusal.UnknownModel, refusal.NotRun)
		expect(post(body, "Plantainmux-Timeout-Ms", "9000000000000000"), refusal.Malformed, refusal.NotRun)
		Expect(started()).To(BeZero())
		response, err := http.Get(r.caller.URL() + "/v1/completions")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		expect(response, refusal.UnknownService, refusal.NotRun)
	})

	It("ends at its deadline with an explicit outcome", func() {
		r.engine.Set(fakes.Faults{Frozen: true})
		expect(post(body, "Plantainmux-Timeout-Ms", "300"), refusal.DeadlineExceeded, refusal.Unknown)
		r.engine.Set(fakes.Faults{})
	})

	It("may take longer than the body timeout, which applies only to reading the body", func() {
		send := func(sent string) string {
			conn, err := net.Dial("tcp", r.caller.Address())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), sent)
			Expect(err).NotTo(HaveOccurred())
			answer, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			return string(answer)
		}
		r.engine.Set(fakes.Faults{DelayMS: 500})
		Expect(send(body)).To(ContainSubstring(`"finish_reason":"stop"`))
		Expect(send(body[:20])).To(ContainSubstring(string(refusal.Malformed)))
	})
})
