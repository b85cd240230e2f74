package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// Input is all that a plan depends on.
type Input struct {
	Catalog   *catalog.Catalog
	Endpoints *registry.Snapshot
	Groups    *ledger.State
	Health    Health
	Owns      func(domain string) bool // whether this daemon plans a domain
	Quiet     bool                     // no request has come yet, so that loads are cheap
	Now       time.Time
}
