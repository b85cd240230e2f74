package main

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/evidence"
)

// breachError says that a report found breaches.
type breachError struct {
	Report evidence.Report
}

// Error implements error.
func (e *breachError) Error() string {
	count := 0
	for _, finding := range e.Report.Findings {
		count += len(finding.Breaches)
	}
	return fmt.Sprintf("%d breaches were found", count)
}
