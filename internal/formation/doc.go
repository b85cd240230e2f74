// Package formation assigns endpoints to groups: it chooses the members of each
// group, replaces failed members, selects the models that spare endpoints
// preload, and derives the next order for each endpoint. A Plan is a pure
// function of its Input; Keeper executes it.
package formation
