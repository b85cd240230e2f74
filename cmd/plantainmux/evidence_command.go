package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

const evidenceTimeout = 2 * time.Minute

type evidenceCommand struct {
	global      *globalOptions
	Log         string             `long:"log" required:"true" description:"base URL of the log service"`
	DataCentres []fleet.DataCentre `long:"data-centre" required:"true" description:"data centre to cover; repeat for each"`
	From        string             `long:"from" description:"start of the span, RFC 3339; a day before its end by default"`
	To          string             `long:"to" description:"end of the span, RFC 3339; now by default"`
}

// Execute implements flags.Commander. It fails with a breachesError if the report
// contains a breach.
func (c *evidenceCommand) Execute([]string) error {
	now := time.Now()
	span, err := c.span(now)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
	defer cancel()
	records, err := evidence.Read(ctx, infra.NewHTTPLog(c.Log), c.DataCentres)
	if err != nil {
		return err
	}
	report := evidence.NewReport(records, span, evidence.DefaultBounds, now)
	if err := c.write(report); err != nil {
		return err
	}
	if !report.Holds() {
		return &breachesError{Report: report}
	}
	return nil
}

func (c *evidenceCommand) span(now time.Time) (evidence.Span, error) {
	span := evidence.Span{To: now}
	if err := parseTime("--to", c.To, &span.To); err != nil {
		return span, err
	}
	span.From = span.To.AddDate(0, 0, -1)
	if err := parseTime("--from", c.From, &span.From); err != nil {
		return span, err
	}
	return span, nil
}

func parseTime(flag, value string, into *time.Time) error {
	if value == "" {
		return nil
	}
	parsed, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return &flagError{Flag: flag, Value: value, Err: err}
	}
	*into = parsed
	return nil
}

func (c *evidenceCommand) write(report evidence.Report) error {
	if c.global.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return evidence.WritePage(os.Stdout, report)
}
