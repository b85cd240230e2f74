package catalog

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	MaxConnections int     // limit per endpoint, over all daemons
	Pace           *Pace   // nil for a plain service
	Models         []Model // empty unless replicas span several VMs
}

// Grouped reports whether requests go to groups of endpoints.
func (s *Service) Grouped() bool { return len(s.Models) > 0 }

// Model returns the model with a name, nil if the service has none.
func (s *Service) Model(name string) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}
