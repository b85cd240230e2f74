package endpoint_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

var _ = Describe("A health check whose daemon stands still", func() {
	// Guards against endpoints that count as down on waking, while their answers wait unread.
	It("finds the answer that waits at its time limit", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(1010 * time.Millisecond) }))
		DeferCleanup(server.Close)
		Expect(endpoint.NewHTTPService().Healthy(context.Background(), server.Listener.Addr().String())).To(BeTrue())
	})
})
