package fleet

// MemberReport is what an engine says of itself. Load figures lag.
type MemberReport struct {
	VM       VMID          `json:"vm"`
	Boot     BootID        `json:"boot"`
	Group    FencingNumber `json:"group"` // group the engine works for, or NoGroup
	State    EngineState   `json:"state"`
	Model    ModelName     `json:"model"`
	Version  string        `json:"version"`
	Adapters []string      `json:"adapters"`
	Running  int           `json:"running"` // requests in the batch
	Waiting  int           `json:"waiting"` // requests in the engine's queue
}
