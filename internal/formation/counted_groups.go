package formation

// countedGroups are the numbers of groups of a service by model.
type countedGroups struct {
	all    map[string]int
	usable map[string]int // outside evacuated data centres
}

// addGroups records that a domain has more groups of a model, or fewer.
func (p *planner) addGroups(domain, model string, more int) {
	p.counts.all[model] += more
	if !p.evacuated.has(domain) {
		p.counts.usable[model] += more
	}
}

// countsFor returns the groups by which a domain is planned: those that can carry the demand or, in an
// evacuated data centre, all groups, so that it is ready for the return.
func (p *planner) countsFor(domain string) map[string]int {
	if p.needs == nil || p.evacuated.has(domain) {
		return p.counts.all
	}
	return p.counts.usable
}
