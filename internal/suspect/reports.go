package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	reportPeriod = 1500 * time.Millisecond // for which a change is reported: many datagrams, so that lost ones do not matter
	maxReports   = 64                      // which bounds a datagram
	maxReported  = 8                       // crashes of one trait in a report, more than any verdict needs
	// acceptAge is the age up to which a report is accepted. Much below CrashTTL, so that daemons
	// cannot give each other back what has expired.
	acceptAge = CrashTTL / 2
)

// Reports returns what the other daemons have to learn: all traits that are refused, and what has
// changed lately, own or learnt. Each daemon passes on what it has learnt, so that a daemon which
// starts learns it from those that remain.
func (t *Table) Reports(now time.Time) []Report {
	type ranked struct {
		Report
		refused   bool
		changedAt time.Time
	}
	var all []ranked
	for trait, entry := range t.current.Load().records {
		refused := t.standingOf(trait, now) == Refused
		if refused || now.Sub(entry.changedAt) < reportPeriod {
			all = append(all, ranked{newReport(trait, entry, now), refused, entry.changedAt})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(first(a.refused, b.refused), first(a.Part, b.Part), b.changedAt.Compare(a.changedAt), cmp.Compare(a.Hash, b.Hash))
	})
	var reports []Report
	for _, r := range all[:min(len(all), maxReports)] {
		reports = append(reports, r.Report)
	}
	return reports
}

// first orders what has a property before what has not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// newReport returns the report of a record, with its newest crashes.
func newReport(trait Trait, entry record, now time.Time) Report {
	report := Report{Part: trait.Part, Hash: trait.Hash, Sound: entry.sound, AgeMS: int(now.Sub(entry.last).Milliseconds())}
	for key, crash := range entry.crashes {
		report.Crashes = append(report.Crashes, ReportedCrash{Group: uint64(key.Group), AgeMS: int(now.Sub(crash.at).Milliseconds()), Cleared: crash.cleared})
	}
	slices.SortFunc(report.Crashes, func(a, b ReportedCrash) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Group, b.Group))
	})
	report.Crashes = report.Crashes[:min(len(report.Crashes), maxReported)]
	return report
}

// Merge adds what another daemon reports. Reports may come twice, late and in any order.
func (t *Table) Merge(reports []Report, now time.Time) {
	reports = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return !t.news(r, now) })
	if len(reports) == 0 {
		return
	}
	t.update(now, func(next records) {
		for _, report := range reports {
			trait := Trait{Part: report.Part, Hash: report.Hash}
			if entry, changed := next[trait].merged(report, now); changed {
				entry.sound = entry.sound || trait.Part && t.sound.contains(trait.Hash, now)
				next[trait] = entry
			}
		}
	})
}

// news reports whether a report says anything that the table does not hold.
func (t *Table) news(report Report, now time.Time) bool {
	_, changed := t.current.Load().records[Trait{Part: report.Part, Hash: report.Hash}].merged(report, now)
	return changed
}

// merged returns the record with a report added, and whether it changed.
func (r record) merged(report Report, now time.Time) (record, bool) {
	age := time.Duration(report.AgeMS) * time.Millisecond
	if age >= acceptAge {
		return r, false
	}
	changed, unknown := false, len(r.crashes) == 0
	for _, crash := range report.Crashes {
		key := GroupKey{Group: fleet.FencingNumber(crash.Group)}
		known, ok := r.crashes[key]
		if !ok || crash.Cleared && !known.cleared {
			r = r.with(key, observation{at: crash.at(now), cleared: crash.Cleared}, now)
			changed = true
		}
	}
	if unknown {
		r.last = now.Add(-age) // requests with the trait may have been refused long after the crashes
	}
	if report.Sound && !r.sound && len(r.crashes) > 0 {
		r.sound, r.changedAt = true, now
		changed = true
	}
	return r, changed
}
