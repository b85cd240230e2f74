package placement

// View holds the targets at one time. It is immutable.
type View struct {
	Plain     map[string][]*Target            // by service
	Groups    map[string]map[string][]*Target // by service and model
	Evacuated *View                           // targets that are left out, as they are in evacuated data centres; nil: none
}

// Targets returns the targets of a plain service, or those of a model of a grouped
// service.
func (v *View) Targets(service, model string) []*Target {
	if models, ok := v.Groups[service]; ok {
		return models[model]
	}
	return v.Plain[service]
}

// Evacuates reports whether targets of a plain service, or of a model of a grouped service, are
// left out as they are in evacuated data centres.
func (v *View) Evacuates(service, model string) bool {
	return v.Evacuated != nil && len(v.Evacuated.Targets(service, model)) > 0
}

// Find returns the target with a key, nil if there is none.
func (v *View) Find(key string) *Target {
	var found *Target
	v.Each(func(target *Target) {
		if target.Key == key {
			found = target
		}
	})
	return found
}

// Each calls f with each target.
func (v *View) Each(f func(target *Target)) {
	for _, targets := range v.Plain {
		for _, target := range targets {
			f(target)
		}
	}
	for _, models := range v.Groups {
		for _, targets := range models {
			for _, target := range targets {
				f(target)
			}
		}
	}
}
