package adminapi

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Report aggregates the status answers of all daemons into text for operators:
// first the problems, then one section per data centre.
type Report struct {
	answers     []StatusAnswer
	dataCentres []*dataCentreReport
}

// NewReport returns a report on the answers.
func NewReport(answers []StatusAnswer) *Report {
	r := &Report{answers: answers}
	for _, answer := range answers {
		if answer.Status != nil {
			r.reportFor(answer.Status.DataCentre).add(answer)
		}
	}
	slices.SortFunc(r.dataCentres, func(a, b *dataCentreReport) int { return strings.Compare(string(a.name), string(b.name)) })
	return r
}

// reportFor returns the report of a data centre, which it adds if it is new.
func (r *Report) reportFor(name fleet.DataCentre) *dataCentreReport {
	for _, c := range r.dataCentres {
		if c.name == name {
			return c
		}
	}
	c := &dataCentreReport{name: name}
	r.dataCentres = append(r.dataCentres, c)
	return c
}

// UnhealthyDaemons returns the number of daemons with at least one problem.
func (r *Report) UnhealthyDaemons() int {
	count := 0
	for _, answer := range r.answers {
		if !answer.Healthy() {
			count++
		}
	}
	return count
}

// Lines returns the report as text.
func (r *Report) Lines() []string {
	problems := r.problems()
	head := fmt.Sprintf("%d of %d daemons are well, configuration %s in force", len(r.answers)-r.UnhealthyDaemons(), len(r.answers), r.versions())
	lines := []string{fmt.Sprintf("%s: %s", head, outcome(len(problems)))}
	for _, problem := range problems {
		lines = append(lines, "! "+problem)
	}
	for _, c := range r.dataCentres {
		lines = append(lines, c.lines()...)
	}
	return lines
}

func outcome(problems int) string {
	if problems == 0 {
		return "nothing is wrong"
	}
	return plural(problems, "problem")
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func (r *Report) problems() []string {
	var problems []string
	for _, answer := range r.answers {
		problems = append(problems, answer.problems()...)
	}
	if len(r.versionsInForce()) > 1 {
		problems = append(problems, "the daemons do not agree on the configuration")
	}
	for _, c := range r.dataCentres {
		problems = append(problems, c.problems()...)
	}
	return problems
}

// versions returns the configuration versions in force as text, newest first.
func (r *Report) versions() string {
	var texts []string
	for _, version := range r.versionsInForce() {
		texts = append(texts, fmt.Sprint(version))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, " and ")
}

func (r *Report) versionsInForce() []uint64 {
	var versions []uint64
	for _, answer := range r.answers {
		if answer.Status != nil {
			versions = append(versions, uint64(answer.Status.ConfigVersion))
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	slices.Reverse(versions)
	return versions
}
