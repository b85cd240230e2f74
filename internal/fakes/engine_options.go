package fakes

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	VM            fleet.VMID
	ChecksFencing bool
	LoadTime      time.Duration // duration of a load without a weight store
	WeightStore   string        // base URL, or empty
	TokenDelay    time.Duration // time between two tokens
	Tokens        int           // tokens of an answer if the request gives no max_tokens; 0: defaultTokens
	ReportLag     time.Duration // age of the load figures in a report
	MaxRunning    int           // requests in the batch; 0: unbounded
	CacheBlocks   int           // capacity of the prefix cache in blocks; 0: no cache and no cache events
	ReadDelay     time.Duration // prefill time of one uncached block of a prompt
	// OnFrame is called with each frame as it is generated; may be nil.
	OnFrame func(frame endpoint.Frame)
	// CrashOn is a text; a request whose body contains it crashes the engine. Empty:
	// none does.
	CrashOn string
	// CrashAfter is how long such a request runs before the crash.
	CrashAfter time.Duration
	// OnCrash is called after a crash, to end the engine's process or server; may be
	// nil.
	OnCrash func()
}
