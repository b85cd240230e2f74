package test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// answerTo sends a request line as it is and returns the head of the answer.
func answerTo(d *testbed.Daemon, line string) *http.Response {
	conn, err := net.Dial("tcp", d.CallerAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}", line, testbed.TeamKey, line)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(answer.Body.Close)
	return answer
}

func expectNotRun(answer *http.Response, line string, status int) {
	Expect(answer.StatusCode).To(Equal(status), "%s", line)
	Expect(answer.Header.Get(refusal.OutcomeHeader)).To(Equal(string(refusal.NotRun)), "%s", line)
}

var _ = Describe("The path of a call", func() {
	// An encoded slash was taken for a slash, paths were redirected, and "OPTIONS *" was answered by net/http.
	It("is read as it is sent, and every answer has an outcome", func() {
		b := newOrderBed()
		d := b.StartDaemons(nil, "north")[0]
		Eventually(func() refusal.Outcome { return placeOrder(d, "first").outcome }, orderTimeout, orderPollInterval).Should(Equal(refusal.Done))
		ran := len(b.service.Runs())
		for _, line := range []string{"POST /v1/services/orders/orders%2Fpress", "POST /v1/services/orders/orders%2f"} {
			expectNotRun(answerTo(d, line), line, http.StatusNotFound)
		}
		for _, line := range []string{
			"OPTIONS *", "POST http://a.example/v1/services/orders/orders", "POST /v1/services/orders//orders", "POST /v1/services/orders/x/../orders",
			"POST /v1/services/x/%2e%2e/orders/orders",
		} {
			expectNotRun(answerTo(d, line), line, http.StatusBadRequest)
		}
		Expect(b.service.Runs()).To(HaveLen(ran))
		Expect(answerTo(d, "POST /v1/%73ervices/order%73/order%73?a=/../b").StatusCode).To(Equal(http.StatusOK))
	})
})
