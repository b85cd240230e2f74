package adminapi

import (
	"fmt"
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// dataCentreReport aggregates the status answers of the daemons of one data centre.
type dataCentreReport struct {
	name    fleet.DataCentre
	daemons []StatusAnswer
	groups  []*groupReport // sorted by fencing number
}

func (c *dataCentreReport) add(answer StatusAnswer) {
	c.daemons = append(c.daemons, answer)
	for _, status := range answer.Status.Groups {
		c.reportFor(status.Group).add(status)
	}
	slices.SortFunc(c.groups, func(a, b *groupReport) int { return int(a.group.Fencing) - int(b.group.Fencing) })
}

// reportFor returns the report of a group, which it adds if it is new.
func (c *dataCentreReport) reportFor(of fleet.Group) *groupReport {
	for _, g := range c.groups {
		if g.group.Fencing == of.Fencing {
			return g
		}
	}
	g := &groupReport{group: of}
	c.groups = append(c.groups, g)
	return g
}

// models returns the models of the data centre, each with the fewest serving
// groups that any daemon reports.
func (c *dataCentreReport) models() []ModelStatus {
	var models []ModelStatus
	for _, answer := range c.daemons {
		for _, model := range answer.Status.Models {
			models = mergeLeastServing(models, model)
		}
	}
	return models
}

// mergeLeastServing adds a daemon's status of a model; if the model is already
// listed, it keeps the lower number of serving groups.
func mergeLeastServing(models []ModelStatus, model ModelStatus) []ModelStatus {
	for i, known := range models {
		if known.Name == model.Name {
			models[i].Serving = min(known.Serving, model.Serving)
			return models
		}
	}
	return append(models, model)
}

func (c *dataCentreReport) problems() []string {
	var problems []string
	for _, model := range c.models() {
		if model.Serving < model.Wanted {
			problems = append(problems, fmt.Sprintf("%s: %d of %d groups of %s serve", c.name, model.Serving, model.Wanted, model.Name))
		}
	}
	return problems
}

func (c *dataCentreReport) lines() []string {
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
