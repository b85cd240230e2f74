package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
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
	// Demand is the smoothed demand of the fleet by service and model. The configured shares apply
	// to a service without an entry.
	Demand map[string]map[string]demand.Total
	// PresentDemand returns the demand of the fleet over the last 2 s, which replaces the smoothed one
	// after a recent evacuation; nil: not known.
	PresentDemand func(service, model string) demand.Total
	Evacuated     map[string]time.Time // when this daemon learnt of the evacuations in force, by data centre
	// InProgress returns the requests in progress at a group, as far as they are known; nil: not known.
	InProgress func(group string, epoch uint64) int
	Shifts     ShiftHistory
	Now        time.Time
}
