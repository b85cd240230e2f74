package infra

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/traffic"
)

const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
)

// newTransport returns an HTTP transport that counts the bytes of its
// connections.
func newTransport(counter *traffic.Counter) *http.Transport {
	return &http.Transport{
		DialContext:         traffic.NewDialer(dialTimeout, counter).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}
