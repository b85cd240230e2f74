package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// Input is the complete input of MakePlan.
type Input struct {
	Catalog       *catalog.Catalog
	Endpoints     *registry.Snapshot
	Groups        *ledger.State
	Health        Health
	Owns          func(domain string) bool // whether this daemon plans a domain
	BeforeTraffic bool                     // no request has arrived yet, so model loads disturb no traffic
	// EraAge is for how long the ledger has been read in the store's current era.
	EraAge time.Duration
	Now    time.Time
}
