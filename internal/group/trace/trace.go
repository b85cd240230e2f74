package trace

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// DataCentre is the data centre of every trace.
const DataCentre fleet.DataCentre = "north"

// Trace is a data centre with its models, and the faults that occur in it.
type Trace struct {
	Name         string
	VMs          []fleet.VM
	Models       []config.Model
	Events       []Event // in chronological order
	Length       time.Duration
	LogOutage    Span // when no record can be appended to the log
	LoadingVMs   int  // VMs that can load concurrently at full speed
	Accelerators int  // per VM
}
