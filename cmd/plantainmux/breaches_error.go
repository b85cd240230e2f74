package main

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/evidence"
)

// breachesError reports that an evidence report contains breaches.
type breachesError struct {
	Report evidence.Report
}

// Error implements error.
func (e *breachesError) Error() string {
	count := 0
	for _, finding := range e.Report.Findings {
		count += len(finding.Breaches)
	}
	return fmt.Sprintf("%d breaches were found", count)
}
