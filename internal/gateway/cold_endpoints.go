package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/notice"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// coldEndpoints keeps the limits of the endpoints that are cold. Nothing is limited if the platform
// sets no bound for cold endpoints, or if their service does not start cold.
type coldEndpoints struct {
	bounds Bounds
	node   string
	limits *targetstats.Limits
	// withdrawnAt returns when this daemon learnt that the latest evacuation of a data centre was
	// withdrawn, the zero time if there was none.
	withdrawnAt func(dataCentre string) time.Time
	sharing     func(now time.Time) (daemons []string, ever int) // that may share limits; none: this daemon has no share
	logger      *slog.Logger
	metrics     *metrics.Set

	mu       sync.Mutex
	cold     map[string]*coldEndpoint // by registry.IncarnationKey
	unusable map[string]int64         // incarnation whose unusable entry was reported, by endpoint ID
}

func newColdEndpoints(s Settings, limits *targetstats.Limits, withdrawnAt func(dataCentre string) time.Time, sharing func(time.Time) ([]string, int), logger *slog.Logger, set *metrics.Set) *coldEndpoints {
	c := &coldEndpoints{
		bounds: s.Bounds, node: s.Node, limits: limits, withdrawnAt: withdrawnAt, sharing: sharing, logger: logger, metrics: set,
		cold: map[string]*coldEndpoint{}, unusable: map[string]int64{},
	}
	set.NewGauge("plantainmux_cold_endpoints", func() float64 { return float64(c.count()) })
	set.NewGauge("plantainmux_cold_skips_total", func() float64 { return float64(limits.ColdSkips()) })
	return c
}

// observe limits the requests to the endpoints that are cold by their entries. traffic states whether
// traffic has begun: endpoints that start before it are not cold unless they say so.
func (c *coldEndpoints) observe(endpoints *registry.Snapshot, services map[string]*catalog.Service, traffic bool, now time.Time) {
	if !c.bounds.limitsCold() {
		return
	}
	for name, service := range services {
		if !service.StartsCold() {
			continue
		}
		for _, e := range endpoints.ByService[name] {
			c.reportUnusable(e)
			until, source := e.ColdUntil, coldByEntry
			if end := e.ColdEnd(service.ColdStart); traffic && end.After(until) {
				until, source = end, coldByStart
			}
			if end := c.returnEnd(e.DataCentre, service); end.After(until) {
				until, source = end, coldByReturn
			}
			c.mark(e.ID, e.Incarnation, service, until, source, now)
		}
	}
}

// returnEnd returns the time until which the endpoints of a data centre count as cold after its
// evacuation was withdrawn, the zero time if there was none. They may have turned cold without
// requests, after they wrote the entries that are known.
func (c *coldEndpoints) returnEnd(dataCentre string, service *catalog.Service) time.Time {
	withdrawn := c.withdrawnAt(dataCentre)
	if withdrawn.IsZero() {
		return time.Time{}
	}
	return withdrawn.Add(service.ColdStart)
}

// observeAnswer limits the requests to an endpoint that says in an answer that it is cold.
func (c *coldEndpoints) observeAnswer(n notice.Notice, service *catalog.Service, now time.Time) {
	if !c.bounds.limitsCold() || service == nil || !service.StartsCold() {
		return
	}
	remaining, err := notice.ParseCold(n.ColdMS)
	if err != nil {
		c.ignore(n.Endpoint, err)
		return
	}
	c.mark(n.Endpoint, n.Incarnation, service, now.Add(remaining), coldByAnswer, now)
}

// mark records that an incarnation of an endpoint is cold until a time.
func (c *coldEndpoints) mark(id string, incarnation int64, service *catalog.Service, until time.Time, source coldSource, now time.Time) {
	if !until.After(now) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limits.GetOrCreate(id, incarnation)
	key := registry.IncarnationKey(id, incarnation)
	turned := limit.MarkCold(until, now)
	if _, known := c.cold[key]; known && !turned {
		return
	}
	endpoint := &coldEndpoint{id: id, limit: limit, policy: c.bounds.coldPolicy(service.ColdPerS), key: key, since: now}
	c.cold[key] = endpoint
	daemons, ever := c.sharing(now)
	endpoint.share(c.node, daemons, ever, now)
	c.metrics.GetOrCreateCounter(fmt.Sprintf(`plantainmux_endpoint_cold_total{source=%q}`, source)).Inc()
	c.logger.Info("endpoint is cold", "endpoint", id, "source", source, "remaining_ms", until.Sub(now).Milliseconds(),
		"requests_per_s", service.ColdPerS, "own_requests_per_s", endpoint.policy.Rate(key, daemons, ever, c.node), "daemons", len(daemons))
}

// review sets the shares again if the daemons that may share have changed, and drops the endpoints
// that are warm.
func (c *coldEndpoints) review(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cold) == 0 {
		return
	}
	daemons, ever := c.sharing(now)
	for key, endpoint := range c.cold {
		if !endpoint.limit.Cold(now) {
			delete(c.cold, key)
			c.logger.Info("endpoint is warm", "endpoint", endpoint.id, "cold_ms", now.Sub(endpoint.since).Milliseconds())
			continue
		}
		endpoint.share(c.node, daemons, ever, now)
	}
}

func (c *coldEndpoints) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cold)
}

// reportUnusable reports an unusable time in an entry, once for each incarnation.
func (c *coldEndpoints) reportUnusable(e *registry.Endpoint) {
	if e.ColdError == nil {
		return
	}
	c.mu.Lock()
	reported, known := c.unusable[e.ID]
	c.unusable[e.ID] = e.Incarnation
	c.mu.Unlock()
	if !known || reported != e.Incarnation {
		c.ignore(e.ID, e.ColdError)
	}
}

func (c *coldEndpoints) ignore(id string, err error) {
	var invalid *notice.InvalidColdError
	if errors.As(err, &invalid) {
		c.metrics.GetOrCreateCounter(fmt.Sprintf(`plantainmux_endpoint_cold_ignored_total{reason=%q}`, invalid.Reason)).Inc()
	}
	c.logger.Warn("endpoint named an unusable time to stay cold", "endpoint", id, "error", err)
}
