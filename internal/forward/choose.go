package forward

import (
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

const (
	// pathsPerDaemon is the number of daemons through which one that is cut off forwards: one may
	// be lost, and several carry the load of many.
	pathsPerDaemon = 3
	// maxPerForwarder is the number of daemons that are cut off for each one of their data centre
	// up to which they forward within it, where bytes cost nothing.
	maxPerForwarder = 2
)

// Candidate is a daemon that reaches the endpoints.
type Candidate struct {
	Daemon     string
	DataCentre string
}

// Permitted returns the candidates to which the body of a request may be passed on, if its caller
// connected to a daemon of the data centre entry.
func Permitted(allowed *locality.Allowed, regions locality.Regions, entry string, candidates []Candidate) []Candidate {
	if allowed == nil {
		return candidates
	}
	var permitted []Candidate
	for _, c := range candidates {
		if regions.AllowsForwarder(allowed, entry, c.DataCentre) {
			permitted = append(permitted, c)
		}
	}
	return permitted
}

// Choose returns the daemons through which a daemon forwards while it is cut off: those of its data
// centre if they suffice for the cutOffHere daemons of it that are cut off, this one included,
// otherwise any.
func Choose(self, dataCentre string, candidates []Candidate, cutOffHere int) []string {
	var here, all []string
	for _, c := range candidates {
		all = append(all, c.Daemon)
		if c.DataCentre == dataCentre {
			here = append(here, c.Daemon)
		}
	}
	if len(here) > 0 && cutOffHere <= maxPerForwarder*len(here) {
		all = here
	}
	return rendezvous.Choose(self, all, pathsPerDaemon)
}
