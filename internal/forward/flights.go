package forward

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/reach"
)

func (r *Router) begin(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flights[f] = struct{}{}
}

func (r *Router) end(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f)
	if f.silent {
		r.silent.Add(-1)
	}
}

// Silent returns the number of exchanges in progress at each endpoint, by its key, that have had no
// answer while nothing arrived from any endpoint: the endpoints know nothing of them.
func (r *Router) Silent() map[string]int {
	if r.silent.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for f := range r.flights {
		if f.silent {
			counts[f.endpoint]++
		}
	}
	return counts
}

// reportSlowConnects records the endpoints to which a connection takes too long. Connections may have been made, and not
// been noticed, while this process stood still: after a standstill it takes two reviews.
func (r *Router) reportSlowConnects(now time.Time) {
	justWoke := r.standstills.Stood(now.Add(-slowConnect), now) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flights {
		switch {
		case f.connected() || f.reported || r.standstills.Ran(f.began, now) <= slowConnect:
		case justWoke && !f.awaited:
			f.awaited = true
		default:
			f.reported = true
			r.tracker.ObserveConnectFailure(f.endpoint, f.began)
		}
	}
}

// reportSilence records the endpoints that have accepted a connection and answer nothing on it, if
// nothing has arrived from any endpoint since the exchange began. An exchange that does not count
// then counts when it ends.
func (r *Router) reportSilence(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.reviewedAt) > maxReviewGap {
		r.awakeSince = now
	}
	r.reviewedAt = now
	if now.Sub(r.awakeSince) <= silentAfter {
		return
	}
	for f := range r.flights {
		if f.judged || !f.connected() || now.Sub(f.connectedAt()) <= silentAfter {
			continue
		}
		f.judged = true
		if !r.tracker.AnsweredSince(f.began) {
			f.silent = true
			r.silent.Add(1)
			r.tracker.ObserveSilence(f.endpoint, f.began)
			r.Count(`plantainmux_silent_exchanges_total`)
		}
	}
}

// cancelConnects cancels the exchanges that have no connection yet and may be forwarded, so that they
// are.
func (r *Router) cancelConnects() {
	r.cancelFlights(func(f *flight) bool { return !f.connected() })
}

// cancelSilent cancels the exchanges that are silent and may be repeated once probes have brought no
// answer either, so that they are sent through another daemon. Until they end they would count as load
// of their endpoints at all daemons. Endpoints that are merely busy answer probes.
func (r *Router) cancelSilent(now time.Time) {
	if r.tracker.State() != reach.CutOff || r.tracker.For(now) < probeInterval {
		return
	}
	r.cancelFlights(func(f *flight) bool { return f.silent && f.repeatable })
}

// cancelFlights cancels the exchanges that may be forwarded and for which a condition holds.
func (r *Router) cancelFlights(condition func(*flight) bool) {
	if !r.Paths.Any(nil) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flights {
		if condition(f) && (f.allowed == nil || r.Paths.Any(f.allowed)) {
			f.cancel()
		}
	}
}
