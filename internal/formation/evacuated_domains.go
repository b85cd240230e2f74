package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/apportion"
)

// evacuatedDomains are the fabric domains of a service whose groups take no requests.
type evacuatedDomains struct {
	names  map[string]bool
	latest time.Time // when this daemon learnt of the latest evacuation
}

func (d evacuatedDomains) has(domain string) bool { return d.names[domain] }

// findEvacuated finds the fabric domains in evacuated data centres. There are none for a service that
// is planned by the configured shares: these say nothing of the capacity that is left.
func (p *planner) findEvacuated() {
	p.evacuated = evacuatedDomains{names: map[string]bool{}}
	if p.in.Demand[p.service.Name] == nil {
		return
	}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		since, evacuated := p.in.Evacuated[e.DataCentre]
		if !evacuated || e.Domain == "" {
			continue
		}
		p.evacuated.names[e.Domain] = true
		if since.After(p.evacuated.latest) {
			p.evacuated.latest = since
		}
	}
}

// evacuation returns the evacuation of data centres with groups of the service.
func (p *planner) evacuation() apportion.Evacuation {
	if len(p.evacuated.names) == 0 {
		return apportion.Evacuation{}
	}
	return apportion.Evacuation{InForce: true, Age: p.in.Now.Sub(p.evacuated.latest)}
}

// changeIncomplete reports whether a group that may take requests waits for the head of another group
// to complete its requests, or has not served since. It follows from the records, so that it holds for
// changes of other planners too.
func (p *planner) changeIncomplete() bool {
	for _, record := range p.records() {
		if p.evacuated.has(record.Domain) || p.isServing(record) {
			continue
		}
		for _, former := range record.Former {
			if former.Drain {
				return true
			}
		}
	}
	return false
}
