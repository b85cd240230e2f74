package placement

// withoutEvacuated returns the view without the targets of evacuated data centres, which it keeps
// in Evacuated.
func (v *View) withoutEvacuated(evacuated func(dataCentre string) bool) *View {
	found := false
	v.Each(func(target *Target) { found = found || evacuated(target.DataCentre) })
	if !found {
		return v
	}
	kept := v.filtered(func(target *Target) bool { return !evacuated(target.DataCentre) })
	kept.Evacuated = v.filtered(func(target *Target) bool { return evacuated(target.DataCentre) })
	return kept
}

// filtered returns a view of all services with the targets that pass.
func (v *View) filtered(pass func(target *Target) bool) *View {
	result := &View{Plain: map[string][]*Target{}, Groups: map[string]map[string][]*Target{}}
	passing := func(targets []*Target) []*Target {
		var kept []*Target
		for _, target := range targets {
			if pass(target) {
				kept = append(kept, target)
			}
		}
		return kept
	}
	for service, targets := range v.Plain {
		result.Plain[service] = passing(targets)
	}
	for service, models := range v.Groups {
		result.Groups[service] = map[string][]*Target{}
		for model, targets := range models {
			result.Groups[service][model] = passing(targets)
		}
	}
	return result
}
