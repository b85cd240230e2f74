package testbed

import (
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const acceleratorsPerVM = 8

// Engine is one fake engine with its server.
type Engine struct {
	*fakes.Engine
	ID     fleet.VMID
	Server *fakes.Server
}

// startEngine starts an engine. Unless options set OnCrash, a crash closes its
// server.
func startEngine(options fakes.EngineOptions) *Engine {
	e := &Engine{ID: options.VM}
	if options.OnCrash == nil {
		options.OnCrash = func() { e.Server.Kill() }
	}
	e.Engine = fakes.NewEngine(options)
	e.Server = Serve(e.Handler())
	return e
}

// VM returns the entry of the engine's VM in the VM list.
func (e *Engine) VM(dataCentre fleet.DataCentre, domain fleet.FabricDomain) fleet.VM {
	return fleet.VM{
		ID:           e.ID,
		Address:      e.Server.Address(),
		DataCentre:   dataCentre,
		FabricDomain: domain,
		Accelerators: acceleratorsPerVM,
	}
}

// Kill closes the engine's server, as the end of its process would.
func (e *Engine) Kill() {
	e.Server.Kill()
	e.RecordEvent(fakes.EventDown)
}

// Freeze blocks the engine, as a pause of its process would.
func (e *Engine) Freeze() {
	e.Set(fakes.Faults{Frozen: true})
	e.RecordEvent(fakes.EventFrozen)
}

// Thaw ends a freeze.
func (e *Engine) Thaw() {
	e.RecordEvent(fakes.EventThawed)
	e.Set(fakes.Faults{})
}

// Restart restarts a killed engine on the same address with a new boot ID.
func (e *Engine) Restart() {
	e.Reboot()
	Expect(e.Server.Start()).To(Succeed())
}
