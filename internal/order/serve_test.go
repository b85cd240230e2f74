package order_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

type standIn interface{ Handler() http.Handler }

func (b *bed) serve(s standIn) *fakes.Server {
	server, err := fakes.StartServer("127.0.0.1:0", s.Handler())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Kill)
	return server
}

func contextWithTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), placeTimeout)
}
