package fleet

// EngineState is the state that an engine reports.
type EngineState string

// States of an engine.
const (
	EngineIdle    EngineState = "idle"    // not in a group
	EngineLoading EngineState = "loading" // joined a group, weights not loaded yet
	EngineReady   EngineState = "ready"   // joined a group and ready to serve
)
