package callerapi

import (
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/request"
)

var _ = Describe("A stream to the caller", func() {
	It("restarts without the buffered frames, and cannot restart once frames were sent", func() {
		written := httptest.NewRecorder()
		sink, err := (&Server{}).newStreamSink(written, &request.Request{ID: "id", Model: "m"}, textFormat{})
		Expect(err).NotTo(HaveOccurred())
		Expect(sink.Frame(endpoint.Frame{Text: "first"})).To(Succeed())
		Expect(sink.Restart()).To(BeTrue())
		Expect(sink.Frame(endpoint.Frame{Text: "second"})).To(Succeed())
		_ = sink.Flush() // a recorder has no write deadline
		Expect(written.Body.String()).To(And(ContainSubstring("second"), Not(ContainSubstring("first"))))
		Expect(sink.Restart()).To(BeFalse())
	})
})
