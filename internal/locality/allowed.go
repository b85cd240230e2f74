package locality

import (
	"slices"
	"strings"
)

// Allowed is the set of regions in which a request may be handled. A nil Allowed means anywhere; an
// empty set means nowhere.
type Allowed struct {
	Regions []string `cbor:"1,keyasint,omitempty"`
}

// Both returns the regions that a route and a team both allow. An empty list allows all regions.
func Both(route, team []string) *Allowed {
	switch {
	case len(route) == 0 && len(team) == 0:
		return nil
	case len(route) == 0:
		return &Allowed{Regions: team}
	case len(team) == 0:
		return &Allowed{Regions: route}
	}
	both := &Allowed{}
	for _, region := range route {
		if slices.Contains(team, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}

// contains reports whether a region is allowed. An empty name is no region, whatever the lists say.
func (a *Allowed) contains(region string) bool {
	return region != "" && slices.Contains(a.Regions, region)
}

// String returns the set as written in logs, "any" for all regions.
func (a *Allowed) String() string {
	if a == nil {
		return "any"
	}
	return strings.Join(a.Regions, ",")
}
