package formation

import (
	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// Plan is the set of ledger changes and orders that one planning round produces.
type Plan struct {
	Grants []*ledger.Record // new records of groups
	Drops  []string         // names of groups whose record is to be deleted
	Orders []Order
	// Converging reports whether some group does not yet match its record.
	Converging bool
	// Paying is the change that the demand for each service calls for now, by service. It is
	// carried out once it has paid off for some time.
	Paying map[string]apportion.Change
	Shifts []Shift // changes that Grants and Drops carry out
}
