package fleet

// EngineState is the phase that an engine reports.
type EngineState string

// Phases of an engine.
const (
	EngineIdle    EngineState = "idle"    // in no group
	EngineLoading EngineState = "loading" // joined a group, weights not loaded yet
	EngineReady   EngineState = "ready"   // joined a group and able to serve
)
