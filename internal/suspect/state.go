package suspect

import "time"

// state is what a table holds. It is immutable.
type state struct {
	records
	refused map[Trait]verdict
}

// trialDue returns when a request may be let through although the trait is refused.
func (s *state) trialDue(trait Trait) time.Time {
	entry := s.records[trait]
	delay := firstTrialAfter
	if entry.sound || s.refused[trait].doubtful {
		delay = firstDoubtfulTrial
	}
	for range min(entry.trials, maxTrialSteps) {
		delay *= trialFactor
	}
	newest := entry.trialAt
	for _, crash := range entry.crashes {
		if !crash.cleared && crash.at.After(newest) {
			newest = crash.at
		}
	}
	return newest.Add(delay)
}
