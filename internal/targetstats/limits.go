package targetstats

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/registry"
)

const (
	limitEndPeriod  = 10 * time.Second // for which the end of a limit is reported
	maxLimitReports = 128              // in a datagram, the newest first
	unusedLimitTTL  = 10 * time.Minute // for which a limit is kept of which no endpoint is known
)

// Limits has the limit of each incarnation of an endpoint, across the groups that it heads.
type Limits struct {
	coldSkips atomic.Uint64

	mu     sync.Mutex
	byHash map[uint64]*Limit
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits { return &Limits{byHash: map[uint64]*Limit{}} }

// GetOrCreate returns the limit of an incarnation of an endpoint.
func (l *Limits) GetOrCreate(id string, incarnation int64) *Limit {
	return l.byKey(xxhash.Sum64String(registry.IncarnationKey(id, incarnation)))
}

func (l *Limits) byKey(hash uint64) *Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.byHash[hash]
	if limit == nil {
		limit = newLimit(&l.coldSkips)
		l.byHash[hash] = limit
	}
	return limit
}

// Reports returns what the other daemons have to learn: the limits that are named, and those that
// have ended lately. Each daemon passes on what it has learnt.
func (l *Limits) Reports(now time.Time) []LimitReport {
	type dated struct {
		LimitReport
		changedAt time.Time
	}
	var all []dated
	l.each(func(hash uint64, limit *Limit) {
		limit.mu.Lock()
		defer limit.mu.Unlock()
		if limit.named != noLimit || limit.version > 0 && now.Sub(limit.changedAt) < limitEndPeriod {
			all = append(all, dated{LimitReport{Endpoint: hash, Version: limit.version, PerS: limit.named}, limit.changedAt})
		}
	})
	slices.SortFunc(all, func(a, b dated) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	var reports []LimitReport
	for _, d := range all[:min(len(all), maxLimitReports)] {
		reports = append(reports, d.LimitReport)
	}
	return reports
}

// Merge adopts what another daemon reports. Reports may come twice, late and in any order.
func (l *Limits) Merge(reports []LimitReport, now time.Time) {
	for _, report := range reports {
		l.byKey(report.Endpoint).merge(report, now)
	}
}

// Share sets this daemon's share of each limit.
func (l *Limits) Share(live []string, self string, now time.Time) {
	l.each(func(hash uint64, limit *Limit) {
		if named, ok := limit.Named(); ok {
			limit.SetShare(LimitShare(named, strconv.FormatUint(hash, 16), live, self), now)
		}
	})
}

// Any reports whether a limit is named.
func (l *Limits) Any() bool {
	found := false
	l.each(func(_ uint64, limit *Limit) { found = found || limit.active.Load() })
	return found
}

// ColdSkips returns how often a request passed over an endpoint because it was cold.
func (l *Limits) ColdSkips() uint64 { return l.coldSkips.Load() }

// Retain deletes the limits that are not among those in use and have not changed for long.
func (l *Limits) Retain(inUse map[*Limit]bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for hash, limit := range l.byHash {
		limit.mu.Lock()
		expired := now.Sub(limit.changedAt) > unusedLimitTTL && now.Sub(limit.coldUntil) > unusedLimitTTL
		limit.mu.Unlock()
		if !inUse[limit] && expired {
			delete(l.byHash, hash)
		}
	}
}

func (l *Limits) each(f func(hash uint64, limit *Limit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for hash, limit := range l.byHash {
		f(hash, limit)
	}
}
