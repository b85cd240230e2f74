package registry

import (
	"maps"
	"slices"
	"time"
)

const (
	// departureNews is how long new daemons are told of a departure: longer than the store takes to carry out
	// a write.
	departureNews = 15 * time.Second
	// maxDepartureReports bounds what a message holds, some 35 bytes each.
	maxDepartureReports = 64
)

// Departures returns the latest departures, for daemons that have started since: these cannot tell a late write of an
// endpoint that has left from one that is new to them.
func (r *Registry) Departures(now time.Time) []DepartureReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := slices.DeleteFunc(slices.Collect(maps.Values(r.departed)), func(d departure) bool { return now.Sub(d.at) > departureNews })
	slices.SortFunc(recent, func(a, b departure) int { return b.at.Compare(a.at) })
	var reports []DepartureReport
	for _, d := range recent[:min(len(recent), maxDepartureReports)] {
		reports = append(reports, DepartureReport{Endpoint: d.last.ID, Incarnation: d.last.Incarnation, Sequence: d.last.Sequence})
	}
	return reports
}

// LearnDepartures applies the departures that another daemon tells of. An endpoint that has written a later entry
// is not affected.
func (r *Registry) LearnDepartures(reports []DepartureReport) {
	if len(reports) > 0 && r.learnDepartures(reports, time.Now()) {
		r.onChange()
	}
}

// learnDepartures applies departures and reports whether an endpoint was removed.
func (r *Registry) learnDepartures(reports []DepartureReport, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.current.Load().ByID
	removed := false
	for _, report := range reports {
		last := lastEntry{incarnation: report.Incarnation, sequence: report.Sequence, knownAt: now, removed: true}
		current := next[report.Endpoint]
		known, departed := r.departed[report.Endpoint]
		if current != nil && !last.supersedes(current, now) || departed && !last.supersedes(known.last, now) {
			continue
		}
		if current != nil {
			r.logGone(current, "removed before this daemon started")
			if !removed {
				next, removed = maps.Clone(next), true
			}
			delete(next, report.Endpoint)
		}
		if !departed || known.last.Sequence != report.Sequence || known.last.Incarnation != report.Incarnation {
			r.departed[report.Endpoint] = departure{last: &Endpoint{ID: report.Endpoint, Incarnation: report.Incarnation, Sequence: report.Sequence}, at: now}
		}
	}
	if removed {
		r.current.Store(index(next))
	}
	return removed
}
