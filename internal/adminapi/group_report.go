package adminapi

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// groupReport aggregates what the daemons of a data centre report about one group.
type groupReport struct {
	group      fleet.Group
	conditions []group.Condition // one per daemon that reports the group
	missing    []fleet.VMID      // reported missing by at least one daemon
}

func (g *groupReport) add(status view.GroupStatus) {
	g.conditions = append(g.conditions, status.Condition)
	for _, vm := range status.Missing {
		if !slices.Contains(g.missing, vm) {
			g.missing = append(g.missing, vm)
		}
	}
}

func (g *groupReport) line() string {
	line := fmt.Sprintf("group %d of %s %s: %s, members %v", g.group.Fencing, g.group.Model, g.group.Version, g.condition(), g.group.Members)
	if len(g.missing) > 0 {
		line += fmt.Sprintf(", missing %v", g.missing)
	}
	return line
}

// condition returns the condition of the group. If the daemons differ, it lists
// each condition with the number of daemons that report it.
func (g *groupReport) condition() string {
	distinct := slices.Compact(slices.Sorted(slices.Values(g.conditions)))
	if len(distinct) == 1 {
		return string(distinct[0])
	}
	var texts []string
	for _, condition := range distinct {
		texts = append(texts, fmt.Sprintf("%s on %d", condition, g.count(condition)))
	}
	return strings.Join(texts, ", ") + " daemons"
}

func (g *groupReport) count(condition group.Condition) int {
	count := 0
	for _, c := range g.conditions {
		if c == condition {
			count++
		}
	}
	return count
}
