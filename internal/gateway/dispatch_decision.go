package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// maxPromptTokens bounds the length of a prompt, which a caller states, as in the counts of demand.
const maxPromptTokens = 1 << 20

type dispatcherDependencies struct {
	self       string // name of this daemon
	dataCentre string
	regions    locality.Regions
	view       func() *placement.View
	catalog    func() *catalog.Catalog
	reported   func(now time.Time) (loads map[uint32]gossip.Load, receivedAt map[string]time.Time)
	demand     func(service, model string) overload.Demand
	daemons    func() int
	delay      func() time.Duration // with which the state of other data centres is known
	declines   func() dispatch.Decline
	metrics    *metrics.Set
}

// dispatcher chooses targets for the daemons of a data centre. Its state is lost with the daemon: the
// next dispatcher begins with what the daemons report. It is safe for concurrent use.
type dispatcher struct {
	dispatcherDependencies
	acting atomic.Bool // this daemon is the dispatcher, and has had time to hear the others

	mu           sync.Mutex
	table        dispatch.Table
	loads        map[uint32]gossip.Load // of the other daemons, as last reviewed
	heardAt      map[string]time.Time   // when the latest report of each daemon came
	reviewed     bool                   // loads have been read since this daemon became the dispatcher
	accumulators map[dispatchModel]*dispatch.Accumulators
	teams        demand.Counter // requests by team, of the data centre
}

func newDispatcher(dependencies dispatcherDependencies) *dispatcher {
	return &dispatcher{dispatcherDependencies: dependencies, accumulators: map[dispatchModel]*dispatch.Accumulators{}}
}

// setActing sets whether this daemon is the dispatcher and has had time to hear the others.
func (d *dispatcher) setActing(acting bool) {
	if d.acting.Swap(acting) == acting || acting {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reviewed, d.table = false, dispatch.Table{}
}

// review reads what the other daemons report.
func (d *dispatcher) review(now time.Time) {
	loads, receivedAt := d.reported(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads, d.heardAt, d.reviewed = loads, receivedAt, true
	d.table.ReportInterval = reportInterval(d.delay())
	d.table.Review(receivedAt, now)
}

// answer decides on a request of a daemon.
func (d *dispatcher) answer(from string, call dispatch.Call, now time.Time) dispatch.Answer {
	answer := d.decide(from, call, now)
	d.metrics.GetOrCreateCounter(fmt.Sprintf(`plantainmux_dispatch_answers_total{outcome=%q}`, answer.Outcome())).Inc()
	return answer
}

func (d *dispatcher) decide(from string, call dispatch.Call, now time.Time) dispatch.Answer {
	if declined := d.declines(); declined != "" {
		return dispatch.Answer{Declined: declined}
	}
	service, model := d.find(call)
	if model == nil {
		return dispatch.Answer{Declined: dispatch.Unknown}
	}
	targets := d.view().Targets(call.Service, call.Model)
	usable := d.usable(targets, call, now)
	if len(usable) == 0 {
		return dispatch.Answer{Declined: dispatch.NoTarget}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.acting.Load() || !d.reviewed {
		return dispatch.Answer{Declined: dispatch.NotDispatcher}
	}
	if from != d.self && now.Sub(d.heardAt[from]) > dispatch.ReportTimeout(reportInterval(d.delay())) {
		return dispatch.Answer{Declined: dispatch.NoReport}
	}
	assigned := d.table.Assigned(now)
	load := func(target *placement.Target) int {
		return target.Meter.InFlight() + d.loads[gossip.HashKey(target.Key)].Count + assigned[target.Key].Requests
	}
	call.PromptTokens = min(max(call.PromptTokens, 0), maxPromptTokens)
	answer, admitted := d.admit(service, model, call, exchange.OverloadTargets(targets, service.ColdPerS, load, now), now)
	answer.Groups = len(usable)
	if !admitted {
		return answer
	}
	in := dispatch.Input{Performance: service.Performance, Model: model, PromptTokens: call.PromptTokens, Late: call.Late, Admitted: answer.Limited}
	for _, target := range usable {
		in.Targets = append(in.Targets, dispatch.Target{
			Local: target.DataCentre == d.dataCentre, Slots: target.Slots, Load: load(target), PromptTokens: assigned[target.Key].PromptTokens, MeanGap: target.Meter.RecentGap(now),
			Slowdown: target.Slowdown,
		})
	}
	if in.SlowByReport() > 0 {
		d.metrics.GetOrCreateCounter(`plantainmux_dispatch_slow_by_report_total`).Inc()
	}
	chosen := dispatch.Choose(in)
	if chosen < 0 {
		answer.Refused, answer.RetryAfterMS = dispatch.NoRoom, int(exchange.RefusalDelay().Milliseconds())
		return answer
	}
	answer.Target = usable[chosen].Key
	d.table.Add(from, answer.Target, call.PromptTokens, from == d.self, now)
	return answer
}

// find returns the service and the model of a call, nil if this daemon does not know them or the
// performance of the service.
func (d *dispatcher) find(call dispatch.Call) (*catalog.Service, *catalog.Model) {
	current := d.catalog()
	if current == nil || current.Services[call.Service] == nil || current.Services[call.Service].Performance == nil {
		return nil, nil
	}
	service := current.Services[call.Service]
	return service, service.Model(call.Model)
}

// usable returns the targets that may take a request. The daemon that asks keeps to the limits of
// its own share, and names the targets that it may not use.
func (d *dispatcher) usable(targets []*placement.Target, call dispatch.Call, now time.Time) []*placement.Target {
	usable := placement.Usable(targets, placement.Requirements{
		Grouped: true, Forwarded: true, PromptTokens: call.PromptTokens, OutputTokens: call.OutputTokens, Allowed: call.Allowed, Regions: d.regions, Now: now,
	})
	return slices.DeleteFunc(usable, func(target *placement.Target) bool { return slices.Contains(call.Excluded, target.Key) })
}

// admit decides whether a request is admitted under overload. The caller holds mu.
func (d *dispatcher) admit(service *catalog.Service, model *catalog.Model, call dispatch.Call, targets []overload.Target, now time.Time) (answer dispatch.Answer, admitted bool) {
	if !service.RanksRoutes {
		return dispatch.Answer{}, true
	}
	class := exchange.TeamClass{Service: call.Service, Model: call.Model, Priority: call.Priority, Team: call.Team, Late: call.Late}
	decision := overload.Decide(overload.Input{
		Performance: service.Performance, Model: model, Targets: targets, Demand: d.demand(call.Service, call.Model),
		Priority: call.Priority, Team: call.Team, Teams: exchange.CountTeams(&d.teams, class, now),
		Late: call.Late, Daemons: d.daemons(), Delay: meanAge(d.delay()), LoadShare: dispatch.LoadShare,
		Remaining: time.Duration(call.RemainingMS) * time.Millisecond, Jitter: rand.Float64(),
	})
	answer = dispatch.Answer{Limited: decision.Limited, Fraction: decision.Fraction, Load: decision.Load, Demand: decision.Demand, Capacity: decision.Capacity}
	if !decision.Limited || d.accumulatorsOf(call).Admit(call.Priority, call.Team, decision.Fraction) {
		return answer, true
	}
	answer.Refused, answer.RetryAfterMS = dispatch.Overload, int(decision.RetryAfter.Milliseconds())
	return answer, false
}

// meanAge returns the age of what a dispatcher knows, given the delay over three hops between
// daemons of different data centres: one hop for its own data centre, three for the others.
func meanAge(delay time.Duration) time.Duration { return delay * 2 / 3 }

func (d *dispatcher) accumulatorsOf(call dispatch.Call) *dispatch.Accumulators {
	key := dispatchModel{service: call.Service, model: call.Model}
	found := d.accumulators[key]
	if found == nil {
		found = &dispatch.Accumulators{}
		d.accumulators[key] = found
	}
	return found
}
