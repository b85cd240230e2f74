package catalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/plantainmux/plantainmux/internal/requestpath"
)

// Catalog is one version of the operators' configuration. It is immutable.
type Catalog struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	routes      map[string][]*Route // by lower-case host, sorted by descending prefix length
	teams       map[string]*Team    // by key
	keyRequired bool                // callers need an API key, except on public routes
}

// New returns a catalog. teams maps API keys to teams; nil means that callers need
// no key.
func New(version int64, routes []Route, services []Service, teams map[string]*Team, limits Limits) *Catalog {
	c := &Catalog{
		Version:     version,
		Services:    make(map[string]*Service, len(services)),
		Limits:      limits,
		routes:      map[string][]*Route{},
		teams:       teams,
		keyRequired: teams != nil,
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes[host] = append(c.routes[host], &routes[i])
	}
	c.rankServices(routes)
	for _, hostRoutes := range c.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// rankServices sets which services have routes that differ in priority.
func (c *Catalog) rankServices(routes []Route) {
	first := map[string]int{} // priority of the first route to a service
	for _, route := range routes {
		for _, target := range route.Targets {
			service := c.Services[target.Service]
			if service == nil {
				continue
			}
			priority, known := first[target.Service]
			if !known {
				first[target.Service] = route.Priority
			} else if priority != route.Priority {
				service.RanksRoutes = true
			}
		}
	}
}

// Route returns the route with the longest matching path prefix for a host, nil if
// there is none. The path is the one that was sent, without any decoding.
func (c *Catalog) Route(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Ambiguous reports whether another reader of a path may take it for a path of another route than
// the chosen one.
func (c *Catalog) Ambiguous(host, path string, chosen *Route) bool {
	if requestpath.Plain(path) {
		return false
	}
	return slices.ContainsFunc(requestpath.Readings[:], func(reading requestpath.Reading) bool {
		return c.routeAsRead(host, path, reading) != chosen
	})
}

// routeAsRead returns the route that a reader chooses who understands paths and prefixes in the same way.
func (c *Catalog) routeAsRead(host, path string, reading requestpath.Reading) *Route {
	path = reading.Read(path)
	var longest *Route
	length := 0
	for _, route := range c.routes[strings.ToLower(host)] {
		prefix := reading.Read(route.Prefix)
		if len(prefix) > length && strings.HasPrefix(path, prefix) {
			longest, length = route, len(prefix)
		}
	}
	return longest
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int {
	count := 0
	for _, hostRoutes := range c.routes {
		count += len(hostRoutes)
	}
	return count
}

// Authorize returns the team of an API key, nil for none, and whether the request
// is allowed on the route.
func (c *Catalog) Authorize(route *Route, key string) (*Team, bool) {
	team := c.teams[key]
	return team, team != nil || route.Public || !c.keyRequired
}

// RequestPriority returns the priority of a team's request on a route. 0 is the most
// urgent.
func RequestPriority(route *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}
