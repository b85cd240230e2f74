package fakes

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// EngineOptions tune one engine.
type EngineOptions struct {
	VM            fleet.VMID
	ChecksFencing bool
	LoadTime      time.Duration // time of a load when there is no weight store
	WeightStore   string        // base URL, or empty
	TokenDelay    time.Duration // between two tokens
	Tokens        int           // tokens of an answer that asks for no number
	ReportLag     time.Duration // age of the load figures in a report
	MaxRunning    int           // requests in the batch; 0 is no bound
	CacheBlocks   int           // blocks of the prefix cache; 0 is no cache and no cache events
	ReadDelay     time.Duration // to read one block of a prompt that is not cached
	// OnFrame is called with each frame when it is generated.
	OnFrame func(frame endpoint.Frame)
	// CrashOn crashes the engine when a request's body contains it.
	CrashOn string
	// CrashAfter is how long such a request runs before it.
	CrashAfter time.Duration
	// OnCrash is called once the engine has crashed, instead of Kill.
	OnCrash func()
}
