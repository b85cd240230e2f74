package overload

import "github.com/plantainmux/plantainmux/internal/fairshare"

// minTeamRequests is the number of requests of a team in the window of 2 s from which its demand can
// be told from chance. Where no team has as many, all have the fraction of their priority.
const minTeamRequests = 4

// TeamDemand is the demand of a team for the model at the priority of the request, as counted where
// the decision is made.
type TeamDemand struct {
	Team     string
	Requests float64 // first attempts within the window
	Weight   float64 // of its share; 0: 1
}

// teamFraction returns the fraction of the requests of the team that are admitted if a fraction of
// those of the priority is: each team gets its max-min fair share of it, so that a team that asks
// for less is refused nothing, and what it leaves is for the others.
func teamFraction(in Input, fraction float64) float64 {
	total, most, own := 0.0, 0.0, -1
	weights, requests := make([]float64, len(in.Teams)), make([]float64, len(in.Teams))
	for i, team := range in.Teams {
		weights[i], requests[i] = team.Weight, max(team.Requests, 0)
		if team.Weight == 0 {
			weights[i] = 1
		}
		total += requests[i]
		most = max(most, requests[i])
		if team.Team == in.Team {
			own = i
		}
	}
	if most < minTeamRequests || own < 0 || requests[own] == 0 {
		return fraction
	}
	return fairshare.MaxMin(fraction*total, weights, requests)[own] / requests[own]
}
