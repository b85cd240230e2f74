package trace

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// DataCentre is the data centre of every trace.
const DataCentre fleet.DataCentre = "north"

// Trace is a data centre with its models, and what happens in it.
type Trace struct {
	Name         string
	VMs          []fleet.VM
	Models       []config.Model
	Events       []Event // in the order of time
	Length       time.Duration
	LogAway      Span // no record can be appended
	LoadingVMs   int  // VMs that the weight store serves at full speed
	Accelerators int  // of one VM
}
