package suspect

import "time"

// A refused part is tried again from time to time, since a verdict may be wrong and without
// requests nothing would show it. Each trial may crash a group, so that the delays grow.
const (
	firstTrialAfter    = time.Minute     // after the newest crash
	firstDoubtfulTrial = 2 * time.Second // the same if requests with the part were answered before, or others may be the cause
	trialFactor        = 4               // between one delay and the next
	maxTrialSteps      = 6               // after which the delay stays as it is
)

// TakeTrial reports whether a request that is refused for one part may run as a trial of it. Only
// one daemon of the fleet may own the trials of a trait.
func (t *Table) TakeTrial(s Subject, now time.Time, owns func(Trait) bool) bool {
	trait, due := t.trialDue(s, now, owns)
	if !due {
		return false
	}
	taken := false
	t.update(now, func(next records) {
		entry := next[trait]
		if entry.trialAt == now || now.Before(t.current.Load().trialDue(trait)) {
			return
		}
		entry.trials++
		entry.trialAt, entry.last = now, now
		next[trait] = entry
		taken = true
	})
	return taken
}

// trialDue returns the part for which a request is refused, and whether a trial of it is due. With
// several such parts the request is no trial: it would not show which of them is sound.
func (t *Table) trialDue(s Subject, now time.Time, owns func(Trait) bool) (Trait, bool) {
	var refused []Trait
	for _, trait := range s.Traits() {
		if t.standingOf(trait, now) == Refused {
			refused = append(refused, trait)
		}
	}
	if len(refused) != 1 || !refused[0].Part || now.Before(t.current.Load().trialDue(refused[0])) {
		return Trait{}, false
	}
	return refused[0], owns(refused[0])
}

// RetryAfter returns how long a refused request should stay away: until the next trial is due.
func (t *Table) RetryAfter(s Subject, now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, trait := range s.Traits() {
		if t.standingOf(trait, now) == Refused {
			wait = max(wait, t.current.Load().trialDue(trait).Sub(now))
		}
	}
	return max(wait, time.Second)
}
