package trace

import "github.com/plantainmux/plantainmux/internal/group"

// Policy returns the plan for an input, as group.MakePlan does.
type Policy func(in group.Input) group.Plan
