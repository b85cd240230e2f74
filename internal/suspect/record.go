package suspect

import (
	"maps"
	"time"
)

// refuseThreshold is the number of crashed groups from which on a request is refused.
const refuseThreshold = 2

// record holds the crashes of one fingerprint. It is immutable.
type record struct {
	crashes map[groupKey]bool // the value is whether the request ran alone
	last    time.Time
}

// with returns a copy of the record with the crash added. Several reports of the same
// crash count once.
func (r record) with(crash Crash) record {
	crashes := maps.Clone(r.crashes)
	if crashes == nil {
		crashes = map[groupKey]bool{}
	}
	key := groupKey{dataCentre: crash.DataCentre, group: crash.Group}
	crashes[key] = crashes[key] || crash.Alone
	last := r.last
	if crash.At.After(last) {
		last = crash.At
	}
	return record{crashes: crashes, last: last}
}

// standing returns the treatment that follows from the record. A request is not
// refused unless it ran alone at one of the crashes: otherwise another suspect may have
// caused them.
func (r record) standing() Standing {
	if len(r.crashes) == 0 {
		return Clear
	}
	if len(r.crashes) < refuseThreshold {
		return Isolated
	}
	for _, alone := range r.crashes {
		if alone {
			return Refused
		}
	}
	return Isolated
}
