package registry

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/notice"
)

// noteCold works out until when a new entry says that the endpoint is cold. Entries are up to a
// heartbeat old, so that an entry never takes back what an earlier one of the incarnation has said.
// previous is the endpoint's previous entry, nil if there is none.
func (e *Endpoint) noteCold(previous *Endpoint, firstRead bool, now time.Time) {
	switch {
	case previous != nil && previous.Incarnation == e.Incarnation:
		e.ColdUntil, e.AppearedAt = previous.ColdUntil, previous.AppearedAt
	case !firstRead:
		e.AppearedAt = now
	}
	if !e.ColdStated {
		return
	}
	remaining, err := notice.ColdTime(e.ColdRemainingMS)
	if err != nil {
		e.ColdStated, e.ColdError = false, err
		return
	}
	if until := now.Add(remaining); remaining > 0 && until.After(e.ColdUntil) {
		e.ColdUntil = until
	}
}

// ColdEnd returns the time until which the endpoint is cold: by its entries, or for the given time
// after its incarnation appeared if the entry does not say.
func (e *Endpoint) ColdEnd(start time.Duration) time.Time {
	if e.ColdStated || e.AppearedAt.IsZero() || e.AppearedAt.Add(start).Before(e.ColdUntil) {
		return e.ColdUntil
	}
	return e.AppearedAt.Add(start)
}
