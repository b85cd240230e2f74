package catalog

import "time"

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	MaxConnections int               // limit per endpoint, over all daemons
	ColdStart      time.Duration     // for which an endpoint is cold after it starts during traffic; 0: never
	ColdPerS       float64           // requests per second that a cold endpoint takes from all daemons together
	Performance    *PerformanceModel // nil for a plain service
	// RanksRoutes states that routes to it differ in priority: operators say whose requests go first.
	// Only then is admission, and which groups there are, decided by the demand.
	RanksRoutes bool
	Models      []Model // empty unless replicas span several VMs
}

// Grouped reports whether requests go to groups of endpoints.
func (s *Service) Grouped() bool { return len(s.Models) > 0 }

// StartsCold reports whether endpoints take fewer requests for a time after they start.
func (s *Service) StartsCold() bool { return s.ColdStart > 0 && s.ColdPerS > 0 }

// Model returns the model with a name, nil if the service has none.
func (s *Service) Model(name string) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}
