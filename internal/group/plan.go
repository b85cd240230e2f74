package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Plan is what the planner proposes.
type Plan struct {
	Releases []Release
	Drains   []Drain
	Forms    []Form
	Readies  []Ready
}

// Empty reports whether the plan proposes nothing.
func (p Plan) Empty() bool {
	return len(p.Releases) == 0 && len(p.Drains) == 0 && len(p.Forms) == 0 && len(p.Readies) == 0
}

// ControlTarget is the order that a member should have obeyed.
type ControlTarget struct {
	VM      fleet.VMID
	Join    bool
	Fencing fleet.FencingNumber
	Group   fleet.Group
}
