package dispatch

import "github.com/plantainmux/plantainmux/internal/catalog"

// Input is what the choice of a target depends on.
type Input struct {
	Performance  *catalog.PerformanceModel // published by the service
	Model        *catalog.Model
	Targets      []Target
	PromptTokens int
	Late         bool // the latency target has been missed already
	Admitted     bool // one of the fraction of the requests that are admitted under overload
}
