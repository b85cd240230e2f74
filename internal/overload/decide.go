package overload

import (
	"cmp"
	"time"
)

const (
	// minDaemons is the number of daemons from which on each learns of the requests of others
	// so late that the decision was shown to gain.
	minDaemons = 16

	// loadShare is the share of the slots in use that is aimed at. Loads of groups differ by a
	// fifth when they are known 0.4 s late, and a group with more requests than slots answers
	// late; at 0.8 a group completes over 0.9 of what it completes with all slots in use.
	loadShare = 0.8

	// horizon is the number of delays in which the load is brought to the one aimed at.
	// With one, the load oscillates, as each correction is seen one delay later; with four,
	// a queue at the start of a burst stays longer.
	horizon = 2

	// freeShare is the share of its slots below which a group has room. What arrives until the
	// others know of it is admitted as long as it finds room there, whatever the other groups have:
	// those beyond the load aimed at make up for the room otherwise. Admitting all requests while
	// any group has room gave 0.08 in time in place of 0.43, at twice the capacity.
	freeShare = 0.7

	// minDelay is the shortest delay that is assumed, for fleets whose clocks and links vary.
	minDelay = 100 * time.Millisecond

	// leastShare is the part of the fraction of all requests that each priority keeps. The
	// requirement is 0.35; the rest is margin for a demand that is known late.
	leastShare = 0.4
)

// Decide decides on a request under sustained load beyond the capacity of a model's groups.
// Each daemon admits the same fraction of the requests: what the groups complete at the load
// aimed at, corrected by the distance of the known load from it, divided by the demand. It is
// 1 while the groups take all requests that arrive within the horizon.
func Decide(in Input) Decision {
	d := Decision{Admit: true, Fraction: 1, Demand: in.Demand.total()}
	if in.Daemons < minDaemons || in.Performance == nil || in.Model == nil || len(in.Targets) == 0 || d.Demand == 0 {
		return d
	}
	aim := cmp.Or(in.LoadShare, loadShare) * float64(in.Performance.Slots)
	rate := completionRate(in.Performance, in.Model, aim, in.Demand)
	least := leastGap(in.Targets)
	totalAim, room := 0.0, 0.0
	for _, target := range in.Targets {
		// The gap published for the load matters because a full group with long prompts has three times
		// the gap of an empty one.
		slowness, byReport := SlowFactor(target.MeanGap, max(least, publishedGap(in, target.Load)), target.Slowdown)
		if byReport {
			d.SlowByReport++
		}
		completes := rate / slowness
		share := 1.0
		if target.MaxRate > 0 && target.MaxRate < completes {
			share = target.MaxRate / completes // by Little's law, it has that share of the load in progress
		}
		d.Load += float64(target.Load)
		d.Capacity += share * completes
		totalAim += share * aim
		room += max(0, freeShare*share*float64(in.Performance.Slots)-float64(target.Load))
	}
	if d.Capacity == 0 {
		return d
	}
	excess := d.Load - totalAim
	delay := max(in.Delay, minDelay).Seconds()
	admissible := max(room/delay, d.Capacity-excess/(horizon*delay))
	if admissible >= d.Demand {
		return d
	}
	d.Limited = true
	fraction := teamFraction(in, fractionOf(in, admissible, d.Demand))
	d.RetryAfter, d.NoRoom = retryAfter(fraction, in.Remaining, in.Jitter)
	if !in.Late {
		d.Fraction = fraction
	} else {
		d.Fraction = 0 // late requests must not displace those that can still be in time
	}
	d.Admit = in.Random < d.Fraction
	return d
}

// fractionOf returns the fraction of the requests of a priority that are admitted when all
// priorities together get the given number of requests per second. Each keeps leastShare of
// the overall fraction, and the most urgent get the rest.
func fractionOf(in Input, admissible, demand float64) float64 {
	least := leastShare * admissible / demand
	rest := admissible - least*demand - (1-least)*in.Demand.moreUrgent(in.Priority)
	own := in.Demand.ByPriority[in.Priority]
	if own <= 0 {
		own = demand // a priority of which no daemon has told yet
	}
	return least + min(max(0, rest)/own, 1-least)
}

// leastGap returns the smallest gap of the targets that do not report to be slow, 0 if none is known.
func leastGap(targets []Target) time.Duration {
	least := time.Duration(0)
	for _, target := range targets {
		if target.MeanGap > 0 && target.Slowdown <= ReportedSlowdown && (least == 0 || target.MeanGap < least) {
			least = target.MeanGap
		}
	}
	return least
}
