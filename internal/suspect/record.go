package suspect

import (
	"maps"
	"time"
)

// crashesToRefuse is the number of crashed groups after which a request is
// refused.
const crashesToRefuse = 2

// record holds the crashes of one fingerprint. It is immutable.
type record struct {
	crashes map[place]bool // whether the request was alone
	last    time.Time
}

// with returns the record with one crash more. Reports of one crash by several
// daemons count once.
func (r record) with(crash Crash) record {
	crashes := maps.Clone(r.crashes)
	if crashes == nil {
		crashes = map[place]bool{}
	}
	at := place{dataCentre: crash.DataCentre, group: crash.Group}
	crashes[at] = crashes[at] || crash.Alone
	last := r.last
	if crash.At.After(last) {
		last = crash.At
	}
	return record{crashes: crashes, last: last}
}

// standing judges the record. Crashes beside other suspects alone never refuse
// a request: any of the others may have caused them.
func (r record) standing() Standing {
	if len(r.crashes) == 0 {
		return Clear
	}
	if len(r.crashes) < crashesToRefuse {
		return Isolated
	}
	for _, alone := range r.crashes {
		if alone {
			return Refused
		}
	}
	return Isolated
}
