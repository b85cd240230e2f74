package gateway

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/notice"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// Adapters connect a gateway with the platform.
type Adapters struct {
	Store        keyed.Log
	Delivery     *delivery.Tracker // of the connections that this daemon opens to endpoints, the store and other daemons
	Endpoints    outbound.Sender   // over this daemon's own connections
	Transport    func(sender outbound.Sender) exchange.Transport
	Engines      formation.Engines
	ProbePath    string            // of endpoints, answered by any HTTP response
	Notices      *notice.Publisher // what endpoints announce in answers to Endpoints and Engines
	DecodeConfig func(data []byte) (*catalog.Catalog, error)
	DecodeEntry  registry.Decoder
	Topics       Topics
	Sweep        func(now time.Time) // closes idle connections
	Callers      func(g *Gateway) CallerHandler
	Readiness    func(g *Gateway) http.Handler
}

// CallerHandler answers callers.
type CallerHandler interface {
	http.Handler
	// RefuseConnection answers a request on a connection beyond the limit.
	RefuseConnection(w http.ResponseWriter, r *http.Request)
}

// Topics name the topics of the platform's store that the gateway follows.
type Topics struct {
	Operators string
	ConfigKey string // key of the newest configuration, in Operators
	// EvacuationPrefix begins the keys in Operators that name an evacuated data centre; empty: there are none.
	EvacuationPrefix string
	Endpoints        string
}
