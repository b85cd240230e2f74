package catalog

// Service is a set of endpoints that answer alike.
type Service struct {
	Name           string
	MaxConnections int     // of all daemons together, for one endpoint
	Pace           *Pace   // nil: a plain service
	Models         []Model // of a service whose replicas span several VMs
}

// Grouped reports whether requests go to groups of endpoints.
func (s *Service) Grouped() bool { return len(s.Models) > 0 }

// Model returns the model of a name, nil if the service has none.
func (s *Service) Model(name string) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}
