package endpoint_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

var _ = Describe("HTTPEngine.Generate", func() {
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	generate := func(engine *endpoint.HTTPEngine, address string) (endpoint.Stream, error) {
		return engine.Generate(context.Background(), address, endpoint.GenerateRequest{Attempt: "a", Body: []byte("{}")})
	}

	It("sends a request only once even if a reused connection breaks", func() {
		var calls atomic.Int32
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "data: {\"attempt\":\"a\",\"done\":true}\n\n")
		})
		engine := endpoint.NewHTTPEngine()
		stream, err := generate(engine, address)
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Next()
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Next()
		Expect(err).To(HaveOccurred()) // the response is complete and the connection is idle
		_ = stream.Close()
		_, err = generate(engine, address)
		var broken *endpoint.BrokenError
		Expect(err).To(BeAssignableToTypeOf(broken))
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})

	It("accepts only known codes as proof that the request did not run", func() {
		for code, want := range map[string]error{
			endpoint.CodeQueueFull: &endpoint.NotRunError{},
			endpoint.CodeNoAttempt: &endpoint.AttemptLostError{},
			"internal":             &endpoint.BrokenError{},
			"":                     &endpoint.BrokenError{},
		} {
			address := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusConflict)
				_, _ = io.WriteString(w, `{"code":"`+code+`"}`)
			})
			_, err := generate(endpoint.NewHTTPEngine(), address)
			Expect(err).To(BeAssignableToTypeOf(want), code)
		}
	})

	It("reads events that exceed its buffer, and rejects a truncated event", func() {
		long := strings.Repeat("x", 10_000)
		address := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: {\"text\":\""+long+"\"}\n\n"+": comment\ndata: {\"text\":\"ha")
		})
		stream, err := generate(endpoint.NewHTTPEngine(), address)
		Expect(err).NotTo(HaveOccurred())
		frame, err := stream.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(frame.Text).To(Equal(long))
		_, err = stream.Next()
		var broken *endpoint.BrokenError
		Expect(err).To(BeAssignableToTypeOf(broken))
	})
})
