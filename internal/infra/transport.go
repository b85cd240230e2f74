package infra

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/traffic"
)

const (
	dialTimeout     = 2 * time.Second
	idleConns       = 64
	idleConnTimeout = 90 * time.Second
)

// newTransport returns a transport whose bytes are counted.
func newTransport(counter *traffic.Counter) *http.Transport {
	return &http.Transport{
		DialContext:         traffic.NewDialer(dialTimeout, counter).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}
