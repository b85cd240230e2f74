package apportion

const (
	// minGain is the fall of the busier model's utilisation, after the loss of one of its groups, from
	// which a change pays off. One group of twelve that is out of service for half of the 10 s until the
	// next change costs 0.04. The opposite change pays off only after demand has moved by as much in
	// the other direction.
	minGain = 0.05
	// maxUtilisation is the utilisation, after the loss of one of its groups, below which the model
	// that gives up groups must stay. The rest is for waves of demand: it is 0.75 with all of six
	// groups, the fewest of a model of the known deployments.
	maxUtilisation = 0.9
	// shortUtilisation is the utilisation from which a model would be short of capacity after the loss of
	// one of its groups, so that a part of its requests would be refused. Both models then share what
	// there is.
	shortUtilisation = 1
)

// Next returns the change that pays off most, and whether there is any. No change closes the last
// group of a model, and none touches a domain in which a group of either model does not serve.
func Next(models []Model, domains []Domain) (Change, bool) {
	return Evacuation{}.Next(models, domains)
}

// Next returns the change that pays off most like the function Next. The models and the domains are
// given without what is in evacuated data centres.
func (e Evacuation) Next(models []Model, domains []Domain) (Change, bool) {
	models = e.compared(withAvailability(models))
	var best Change
	found := false
	for _, from := range models {
		for _, to := range models {
			if from.Name == to.Name || from.GroupSize <= 0 || to.GroupSize <= 0 {
				continue
			}
			for _, domain := range domains {
				change, ok := smallestChange(from, to, domain)
				if ok && change.paysOff(e.maxUtilisation()) && (!found || change.better(best)) {
					best, found = change, true
				}
			}
		}
	}
	return best, found
}

// smallestChange returns the change of a domain that closes the fewest groups. Several smaller
// groups that make way for one larger group are closed together, so that none of them is idle
// while the others still serve.
func smallestChange(from, to Model, domain Domain) (Change, bool) {
	if !domain.settled(from.Name, to.Name) {
		return Change{}, false
	}
	change := Change{Domain: domain.Name, From: from.Name, To: to.Name}
	members := domain.usableFree(to.Name)
	for _, group := range domain.closable(from.Name, to.Name) {
		if len(change.Close)+1 >= from.Groups {
			return Change{}, false // the last group of the model
		}
		change.Close = append(change.Close, group.Name)
		change.InProgress += group.InProgress
		members += group.Fit[to.Name]
		if members < to.GroupSize {
			continue
		}
		change.Form = members / to.GroupSize
		change.FromBefore, change.FromAfter = from.utilisation(0), from.utilisation(-len(change.Close))
		change.ToBefore, change.ToAfter = to.utilisation(0), to.utilisation(change.Form)
		return change, true
	}
	return Change{}, false
}
