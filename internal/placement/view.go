package placement

// View holds the targets at one time. It is immutable.
type View struct {
	Plain  map[string][]*Target            // by service
	Groups map[string]map[string][]*Target // by service and model
}

// Targets returns the targets of a plain service, or those of a model of a grouped
// service.
func (v *View) Targets(service, model string) []*Target {
	if models, ok := v.Groups[service]; ok {
		return models[model]
	}
	return v.Plain[service]
}

// TargetCount returns the number of targets of all services.
func (v *View) TargetCount() int {
	count := 0
	for _, targets := range v.Plain {
		count += len(targets)
	}
	for _, models := range v.Groups {
		for _, targets := range models {
			count += len(targets)
		}
	}
	return count
}
