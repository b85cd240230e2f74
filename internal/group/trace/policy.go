package trace

import "github.com/plantainmux/plantainmux/internal/group"

// Policy makes plans.
type Policy func(in group.Input) group.Plan
