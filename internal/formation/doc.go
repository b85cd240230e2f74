// Package formation plans the groups of endpoints: which endpoints make a
// group, who takes the place of a lost member, what spare endpoints keep loaded,
// and which order each endpoint gets next. A plan is a pure function of what is
// known; Keeper carries it out.
package formation
