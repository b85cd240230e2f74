package evidence

import "time"

// Bounds are the times that a report allows.
type Bounds struct {
	ClockSkew    time.Duration // between the clocks of two VMs
	ViewStale    time.Duration // between a group's release and a daemon's knowledge of it
	ConfigSpread time.Duration // from a publication to its being in force on every daemon
}

// DefaultBounds are the bounds that operators state.
var DefaultBounds = Bounds{
	ClockSkew:    time.Second,
	ViewStale:    3 * time.Second,
	ConfigSpread: 6 * time.Second,
}

// Make works out the report of a span.
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
