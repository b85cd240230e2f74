package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/plantainmux/plantainmux/internal/gateway"
)

// statusTable lists what daemons say, and on what they disagree.
type statusTable struct {
	answered []platformAnswer
	silent   []platformAnswer
	rows     map[string][]statusValue // by name; one value for each daemon that answered
}

func newStatusTable(answers []platformAnswer) *statusTable {
	t := &statusTable{rows: map[string][]statusValue{}}
	for _, answer := range answers {
		if answer.Status == nil {
			t.silent = append(t.silent, answer)
			continue
		}
		t.answered = append(t.answered, answer)
	}
	for daemon, answer := range t.answered {
		for name, value := range statusRows(answer.Status) {
			if t.rows[name] == nil {
				t.rows[name] = slices.Repeat([]statusValue{textValue("-")}, len(t.answered))
			}
			t.rows[name][daemon] = value
		}
	}
	return t
}

// statusRows returns what a daemon says by the name of the row, so that rows sort as they are shown.
func statusRows(s *gateway.Status) map[string]statusValue {
	rows := map[string]statusValue{
		"configuration":          textValue("-"),
		"live daemons":           textValue(strconv.Itoa(s.LiveDaemons)),
		"cold endpoints":         textValue(strconv.Itoa(s.ColdEndpoints)),
		"cut off from endpoints": textValue(map[bool]string{true: "yes", false: "no"}[s.CutOffFromEndpoints]),
	}
	if s.ConfigVersion != nil {
		rows["configuration"] = textValue(strconv.FormatInt(*s.ConfigVersion, 10))
	}
	for _, evacuated := range s.Evacuated {
		rows["evacuated "+evacuated.Name+" for"] = statusValue{
			text: fmt.Sprintf("%.0f s (%s)", evacuated.EvacuatedForS, evacuated.Source), number: evacuated.EvacuatedForS, format: "s", absolute: ageTolerance,
		}
	}
	for _, model := range s.Models {
		name := "model " + model.Service + "/" + model.Model + " "
		rows[name+"groups"] = textValue(groupsText(model.ServingGroups))
		rows[name+"demand"] = rateValue(model.DemandRequestsPerS, "%.1f /s")
		rows[name+"capacity"] = rateValue(model.CapacityRequestsPerS, "%.1f /s")
		rows[name+"utilisation"] = rateValue(model.Utilisation, "%.2f")
	}
	return rows
}

func groupsText(byDataCentre map[string]int) string {
	if len(byDataCentre) == 0 {
		return "0"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
		parts = append(parts, fmt.Sprintf("%s %d", cmp.Or(name, "?"), byDataCentre[name]))
	}
	return strings.Join(parts, ", ")
}

// lines returns the table as text: the daemons that do not answer, then each value, with a line for
// each daemon if they disagree on it.
func (t *statusTable) lines() []string {
	lines := []string{fmt.Sprintf("%d of %d daemons answer", len(t.answered), len(t.answered)+len(t.silent))}
	for _, answer := range t.silent {
		lines = append(lines, fmt.Sprintf("! %s does not answer: %s", answer.Address, answer.Error))
	}
	var table strings.Builder
	writer := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		text, agree := summary(t.rows[name])
		if agree {
			_, _ = fmt.Fprintf(writer, "%s\t%s\n", name, text) // writes to memory
			continue
		}
		_, _ = fmt.Fprintf(writer, "%s\tdaemons disagree:\n", name)
		for daemon, value := range t.rows[name] {
			answer := t.answered[daemon]
			_, _ = fmt.Fprintf(writer, "  %s at %s\t%s\n", answer.Status.Node, answer.Address, value.text)
		}
	}
	_ = writer.Flush()
	if text := strings.TrimRight(table.String(), "\n"); text != "" {
		lines = append(lines, strings.Split(text, "\n")...)
	}
	return lines
}
