package exchange

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/overload"
)

// TeamClass is what a request counts as in the demand of teams.
type TeamClass struct {
	Service, Model string
	Priority       int
	Team           string
	Late           bool // it is not counted
}

// CountTeams counts a request where its admission is decided, and returns the demand of the teams for
// its model and priority. It returns nil without a counter.
func CountTeams(counter *demand.Counter, class TeamClass, now time.Time) []overload.TeamDemand {
	if counter == nil {
		return nil
	}
	if !class.Late {
		counter.ObserveTeam(class.Service, class.Model, class.Priority, class.Team, now)
	}
	counts := counter.Teams(class.Service, class.Model, class.Priority, now)
	teams := make([]overload.TeamDemand, 0, len(counts))
	for team, requests := range counts {
		teams = append(teams, overload.TeamDemand{Team: team, Requests: requests})
	}
	return teams
}
