package evidence

import "time"

// Bounds are the delays that a report tolerates.
type Bounds struct {
	ClockSkew     time.Duration // maximum difference between the clocks of two VMs
	ViewStaleness time.Duration // maximum delay from a group's release until a daemon learns of it
	ConfigDelay   time.Duration // maximum delay from a publication until it is in force on every daemon
}

// DefaultBounds are the bounds that the operators specify.
var DefaultBounds = Bounds{
	ClockSkew:     time.Second,
	ViewStaleness: 3 * time.Second,
	ConfigDelay:   6 * time.Second,
}

// Make returns the report for a span.
func Make(records Records, span Span, bounds Bounds, now time.Time) Report {
	digests := decodeDigests(records, span)
	report := Report{Span: span, MadeAt: now, Streams: coverage(records)}
	report.Findings = []*Finding{
		checkGroupsComplete(records, digests, bounds),
		checkVMsExclusive(records),
		checkAnswersWhole(digests),
		checkNotRunTruthful(records, digests),
		checkOrdersAtMostOnce(records),
		checkLeavingDrained(digests),
		checkStopsGraceful(digests),
		checkConfigurationHolds(records, digests, span, bounds),
	}
	return report
}

func coverage(records Records) []Coverage {
	streams := []Coverage{coverageOf(records.Config)}
	for _, dataCentre := range sortedKeys(records.Groups) {
		streams = append(streams, coverageOf(records.Groups[dataCentre]))
	}
	for _, history := range records.Orders {
		streams = append(streams, coverageOf(history))
	}
	for _, dataCentre := range sortedKeys(records.Evidence) {
		streams = append(streams, coverageOf(records.Evidence[dataCentre]))
	}
	return streams
}
