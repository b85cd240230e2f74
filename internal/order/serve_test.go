package order_test

import (
	"context"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

type handlerSource interface{ Handler() http.Handler }

func mustServe(s handlerSource) *fakes.Server {
	server, err := fakes.StartServer("127.0.0.1:0", s.Handler())
	if err != nil {
		panic(err)
	}
	return server
}

func contextWithTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), placeTimeout)
}

func logOffset(n int) infra.Offset { return infra.Offset(n) }
