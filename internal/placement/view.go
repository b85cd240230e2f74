package placement

// View is the targets at one moment. It is immutable.
type View struct {
	Plain  map[string][]*Target            // by service
	Groups map[string]map[string][]*Target // by service and model
}

// Targets returns the targets of a service, of one model if it has models.
func (v *View) Targets(service, model string) []*Target {
	if models, ok := v.Groups[service]; ok {
		return models[model]
	}
	return v.Plain[service]
}
