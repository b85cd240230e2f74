package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Plan holds the records that the planner proposes.
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

// ControlTarget is the control order that brings a member in line with the
// group state: join Group, or release the member if Join is false.
type ControlTarget struct {
	VM      fleet.VMID
	Join    bool
	Fencing fleet.FencingNumber
	Group   fleet.Group
}
