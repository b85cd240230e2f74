package formation

import "github.com/plantainmux/plantainmux/internal/ledger"

// Plan is what is to be written and ordered.
type Plan struct {
	Grants []*ledger.Record // new records of groups
	Drops  []string         // groups whose record is to be dropped
	Orders []Order
	// Unsettled says that some group is not yet as its record says.
	Unsettled bool
}
