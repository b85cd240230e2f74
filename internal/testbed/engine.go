package testbed

import (
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const acceleratorsPerVM = 8

// Engine is one engine stand-in with its server.
type Engine struct {
	*fakes.Engine
	ID     fleet.VMID
	Server *fakes.Server
}

func startEngine(options fakes.EngineOptions) *Engine {
	e := &Engine{ID: options.VM}
	if options.OnCrash == nil {
		options.OnCrash = func() { e.Server.Kill() }
	}
	e.Engine = fakes.NewEngine(options)
	e.Server = Serve(e.Handler())
	return e
}

// VM returns the platform's entry of the engine's VM.
func (e *Engine) VM(dataCentre fleet.DataCentre, domain fleet.FabricDomain) fleet.VM {
	return fleet.VM{
		ID:           e.ID,
		Address:      e.Server.Address(),
		DataCentre:   dataCentre,
		FabricDomain: domain,
		Accelerators: acceleratorsPerVM,
	}
}

// Kill ends the engine's process.
func (e *Engine) Kill() {
	e.Server.Kill()
	e.RecordEvent(fakes.EventDown)
}

// Freeze pauses the engine's process.
func (e *Engine) Freeze() {
	e.Set(fakes.Faults{Frozen: true})
	e.RecordEvent(fakes.EventFrozen)
}

// Thaw ends a pause.
func (e *Engine) Thaw() {
	e.RecordEvent(fakes.EventThawed)
	e.Set(fakes.Faults{})
}

// Restart starts a killed engine anew under its address, with a new boot.
func (e *Engine) Restart() {
	e.Reboot()
	Expect(e.Server.Start()).To(Succeed())
}
