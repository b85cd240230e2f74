package gateway

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// Adapters are a gateway's ways to the outside.
type Adapters struct {
	Store        keyed.Log
	Transport    exchange.Transport
	Engines      formation.Engines
	DecodeConfig func(data []byte) (*catalog.Catalog, error)
	DecodeEntry  registry.Decoder
	Topics       Topics
	Sweep        func(now time.Time) // drops connections that have been idle for too long
	Callers      func(g *Gateway) http.Handler
	Readiness    func(g *Gateway) http.Handler
}

// Topics are where the platform keeps what the gateway follows.
type Topics struct {
	Operators string
	ConfigKey string // of Operators: the newest configuration
	Endpoints string
}
