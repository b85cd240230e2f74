package formation

import "github.com/plantainmux/plantainmux/internal/ledger"

// Plan is the set of ledger changes and orders that one planning round produces.
type Plan struct {
	Grants []*ledger.Record // new records of groups
	Drops  []string         // names of groups whose record is to be deleted
	Orders []Order
	// Unsettled says that some group does not yet match its record.
	Unsettled bool
}
