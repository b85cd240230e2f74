package infra

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/delivery"
)

const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
)

// newTransport returns an HTTP transport that connects with dial.
func newTransport(dial delivery.Dial) *http.Transport {
	return &http.Transport{
		DialContext:         dial.Within(dialTimeout),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}
