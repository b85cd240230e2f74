package fleet

// MemberReport is the state that an engine reports about itself. Its load
// figures may be out of date.
type MemberReport struct {
	VM       VMID          `json:"vm"`
	Boot     BootID        `json:"boot"`
	Group    FencingNumber `json:"group"` // group that the engine belongs to, or NoGroup
	State    EngineState   `json:"state"`
	Model    ModelName     `json:"model"`
	Version  string        `json:"version"`
	Adapters []string      `json:"adapters"`
	Running  int           `json:"running"` // requests in the current batch
	Waiting  int           `json:"waiting"` // requests in the engine's queue
}
