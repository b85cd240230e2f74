package heldbytes

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Shares of the limit.
const (
	// reservedShare is what bodies of requests, heads and events of slow callers leave to others, so that they do not
	// keep answers that are ready from being delivered.
	reservedShare = 0.25
	// smallShare is what small requests may use whatever the others hold, so that ordinary callers are served beside
	// some that hold much and do not go on.
	smallShare = 0.125
	headShare  = 0.25 // heads may use, so that they leave room for bodies
)

// Account counts the bytes that are held. It is safe for concurrent use.
type Account struct {
	limit    int64 // bytes; 0: none
	total    atomic.Int64
	held     [kinds]atomic.Int64
	refusals [kinds]*metrics.Counter
}

// NewAccount returns an account that holds at most limit bytes, any number if limit is 0. It
// registers its metrics in set.
func NewAccount(limit int64, set *metrics.Set) *Account {
	a := &Account{limit: limit}
	for kind := range kinds {
		set.GetOrCreateGauge(fmt.Sprintf(`plantainmux_held_bytes{kind=%q}`, kind), func() float64 { return float64(a.Held(kind)) })
		a.refusals[kind] = set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_held_refusals_total{kind=%q}`, kind))
	}
	set.GetOrCreateGauge("plantainmux_held_limit_bytes", func() float64 { return float64(limit) })
	return a
}

// Fits returns a LimitError, and counts a refusal, if further bytes of a kind would exceed the
// limit now.
func (a *Account) Fits(kind Kind, bytes int64) error {
	return a.check(kind, bytes, a.held[kind].Load()+bytes, a.total.Load()+bytes)
}

// Hold counts further bytes of a kind. If they exceed the limit it counts a refusal instead, and
// returns a LimitError. The caller releases what is held.
func (a *Account) Hold(kind Kind, bytes int64) error {
	err := a.check(kind, bytes, a.held[kind].Add(bytes), a.total.Add(bytes))
	if err != nil {
		a.Release(kind, bytes)
	}
	return err
}

// HoldAlways counts further bytes of a kind that must be held whatever the limit is.
func (a *Account) HoldAlways(kind Kind, bytes int64) {
	a.total.Add(bytes)
	a.held[kind].Add(bytes)
}

// Release counts bytes as no longer held.
func (a *Account) Release(kind Kind, bytes int64) {
	a.held[kind].Add(-bytes)
	a.total.Add(-bytes)
}

// Limit returns the most bytes that may be held, 0 if any number may.
func (a *Account) Limit() int64 { return a.limit }

// Held returns the bytes of a kind that are held.
func (a *Account) Held(kind Kind) int64 { return a.held[kind].Load() }

// check checks what would be held of a kind, and in total, with further bytes.
func (a *Account) check(kind Kind, bytes, held, total int64) error {
	if a.limit <= 0 {
		return nil
	}
	share := func(share float64) int64 { return int64(share * float64(a.limit)) }
	limit := a.limit - share(reservedShare)
	switch {
	case kind == Answers:
		limit = a.limit
	case kind == SmallRequests && held <= share(smallShare):
		return nil
	case kind == Heads && held > share(headShare):
		limit, total = share(headShare), held
	}
	if total <= limit {
		return nil
	}
	a.refusals[kind].Inc()
	return &LimitError{Kind: kind, Wanted: bytes, Held: total - bytes, Limit: limit}
}
