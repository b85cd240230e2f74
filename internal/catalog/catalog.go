package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// Catalog is one version of the operators' configuration. It is immutable.
type Catalog struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	routes map[string][]*Route // by host, the longest prefix first
	teams  map[string]*Team    // by key
	keyed  bool                // callers need a key
}

// New returns a catalog. A nil map of teams means that callers need no key.
func New(version int64, routes []Route, services []Service, teams map[string]*Team, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		routes:   map[string][]*Route{},
		teams:    teams,
		keyed:    teams != nil,
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes[host] = append(c.routes[host], &routes[i])
	}
	for _, of := range c.routes {
		slices.SortStableFunc(of, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Route returns the route of a host and a path, nil if there is none.
func (c *Catalog) Route(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routes returns how many routes there are.
func (c *Catalog) Routes() int {
	count := 0
	for _, of := range c.routes {
		count += len(of)
	}
	return count
}

// Authorize returns the team of a key, nil for none, and whether the request
// may go on.
func (c *Catalog) Authorize(route *Route, key string) (*Team, bool) {
	team := c.teams[key]
	return team, team != nil || route.Public || !c.keyed
}

// Urgency returns the priority of a team's request, 0 the most urgent.
func Urgency(route *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}
