package adminapi

import (
	"fmt"
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// centreReport is what the daemons of one data centre say.
type centreReport struct {
	name    fleet.DataCentre
	daemons []StatusAnswer
	groups  []*groupReport // by fencing number
}

func (c *centreReport) add(answer StatusAnswer) {
	c.daemons = append(c.daemons, answer)
	for _, status := range answer.Status.Groups {
		c.group(status.Group).add(status)
	}
	slices.SortFunc(c.groups, func(a, b *groupReport) int { return int(a.group.Fencing) - int(b.group.Fencing) })
}

func (c *centreReport) group(of fleet.Group) *groupReport {
	for _, g := range c.groups {
		if g.group.Fencing == of.Fencing {
			return g
		}
	}
	g := &groupReport{group: of}
	c.groups = append(c.groups, g)
	return g
}

// models returns the models of the data centre, each as the daemon sees it that
// counts the fewest serving groups.
func (c *centreReport) models() []ModelStatus {
	var models []ModelStatus
	for _, answer := range c.daemons {
		for _, model := range answer.Status.Models {
			models = leastServing(models, model)
		}
	}
	return models
}

func leastServing(models []ModelStatus, model ModelStatus) []ModelStatus {
	for i, known := range models {
		if known.Name == model.Name {
			models[i].Serving = min(known.Serving, model.Serving)
			return models
		}
	}
	return append(models, model)
}

func (c *centreReport) problems() []string {
	var problems []string
	for _, model := range c.models() {
		if model.Serving < model.Wanted {
			problems = append(problems, fmt.Sprintf("%s: %d of %d groups of %s serve", c.name, model.Serving, model.Wanted, model.Name))
		}
	}
	return problems
}

func (c *centreReport) lines() []string {
	lines := []string{"", fmt.Sprintf("%s: %s", c.name, plural(len(c.daemons), "daemon"))}
	for _, answer := range c.daemons {
		lines = append(lines, "  "+answer.line())
	}
	for _, model := range c.models() {
		lines = append(lines, fmt.Sprintf("  %s %s: %d of %d groups serve", model.Name, model.Version, model.Serving, model.Wanted))
	}
	for _, g := range c.groups {
		lines = append(lines, "  "+g.line())
	}
	return lines
}
