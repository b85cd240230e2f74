package suspect

import (
	"maps"
	"time"
)

const (
	// refuseIsolated is the number of crashed groups from which on a request is refused that ran
	// isolated at one of them.
	refuseIsolated = 2
	// refuseShared is the number of crashed groups from which on a trait is refused without
	// isolation. Two may be chance: what was in progress on a crashed group moves to the next.
	refuseShared = 3
	// refuseSound is the same for a part with which requests were answered before the crashes.
	refuseSound = 5
)

// record holds the crashes of one trait. It is immutable.
type record struct {
	crashes   map[GroupKey]observation
	last      time.Time // newest crash, refusal or trial
	changedAt time.Time // newest change that the other daemons have to learn
	sound     bool      // requests with the part were answered before the crashes
	trials    int       // requests that this daemon let through although the trait is refused
	trialAt   time.Time // newest of them
}

// with returns a copy of the record with the crash added. Several reports of the same crash count
// once, and one that was cleared stays so.
func (r record) with(key GroupKey, crash observation, now time.Time) record {
	known, ok := r.crashes[key]
	if ok {
		crash = observation{at: known.at, alone: known.alone || crash.alone, cleared: known.cleared || crash.cleared}
	}
	if ok && crash == known {
		return r
	}
	crashes := maps.Clone(r.crashes)
	if crashes == nil {
		crashes = map[GroupKey]observation{}
	}
	crashes[key] = crash
	r.crashes, r.changedAt = crashes, now
	if crash.at.After(r.last) {
		r.last = crash.at
	}
	return r
}

// cleared returns a copy of the record in which the crashes that match are cleared.
func (r record) cleared(match func(GroupKey) bool, now time.Time) record {
	for key, crash := range r.crashes {
		if !crash.cleared && match(key) {
			crash.cleared = true
			r = r.with(key, crash, now)
		}
	}
	return r
}

// accused reports whether the record has a crash that was not cleared.
func (r record) accused() bool {
	for _, crash := range r.crashes {
		if !crash.cleared {
			return true
		}
	}
	return false
}

// count returns the number of crashes that count.
func (r record) count(policy Policy, now time.Time) int {
	count := 0
	for _, crash := range r.crashes {
		if !crash.cleared && policy.confirmed(crash.at, now) {
			count++
		}
	}
	return count
}

// counted returns the groups whose crashes count.
func (r record) counted(policy Policy, now time.Time) map[GroupKey]bool {
	groups := map[GroupKey]bool{}
	for key, crash := range r.crashes {
		if !crash.cleared && policy.confirmed(crash.at, now) {
			groups[key] = true
		}
	}
	return groups
}

// refusesRequest reports whether a whole request is refused. Under a policy that isolates it is not
// unless it ran alone at one of the crashes: otherwise another suspect may have caused them.
func (r record) refusesRequest(policy Policy, now time.Time) bool {
	if !policy.Isolates {
		return r.count(policy, now) >= refuseShared
	}
	if r.count(policy, now) < refuseIsolated {
		return false
	}
	for key := range r.counted(policy, now) {
		if r.crashes[key].alone {
			return true
		}
	}
	return false
}
