package formation

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// ProbeGroup probes the members of a group that stopped responding, if this daemon
// plans the group's domain. fault is the ID of the member that the head reported
// as failed, or empty.
func (r *Reconciler) ProbeGroup(ctx context.Context, group string, epoch uint64, fault string) {
	record := r.Ledger.Load().Groups[group]
	if record == nil || record.Epoch != epoch || !r.Owns(record.Domain) {
		return
	}
	if !r.observations.tryProbe(group, time.Now(), probeInterval) {
		return
	}
	r.pool.Submit(func() { r.probeGroup(ctx, record, fault) })
}

// probeGroup probes the members of a group and records those as dead that do not
// answer although others do. If the group sends an event meanwhile, all of them are
// running, however late one answers: no pass is made without it.
func (r *Reconciler) probeGroup(ctx context.Context, record *ledger.Record, fault string) {
	began := time.Now()
	alive := make([]bool, len(record.Members))
	slowdown := make([]float64, len(record.Members))
	var probes sync.WaitGroup
	for i, member := range record.Members {
		probes.Go(func() { alive[i], slowdown[i] = r.probeMember(ctx, member) })
	}
	probes.Wait()
	answered := 0
	var silent []string
	for i, member := range record.Members {
		if alive[i] {
			answered++
			continue
		}
		silent = append(silent, member.ID)
	}
	r.Logger.Info("group probed", "group", record.Group, "epoch", record.Epoch, "answered", answered, "silent", silent, "fault", fault)
	if answered == 0 {
		return // the whole domain is unreachable, or this daemon's own network link is down
	}
	serves := len(silent) > 0 && r.servedSince(ctx, record, began)
	if serves {
		r.Logger.Info("group sends events, so that its silent members count as running", "group", record.Group, "epoch", record.Epoch, "silent", silent)
	}
	for i, member := range record.Members {
		if alive[i] || !serves {
			r.observations.setProbed(member, alive[i], slowdown[i])
		}
	}
	r.Wake()
}

// servedSince reports whether a group has sent an event to any daemon later than a time. It waits for the
// news of the others.
func (r *Reconciler) servedSince(ctx context.Context, record *ledger.Record, since time.Time) bool {
	if r.ServedSince == nil {
		return false
	}
	if r.NewsDelay != nil {
		wait.For(ctx, min(r.NewsDelay(), maxNewsWait)-time.Since(since))
	}
	return r.ServedSince(record.Group, record.Epoch, since)
}

// probeMember reports whether the granted incarnation of an endpoint is running,
// and its slowdown factor. An attempt during which this process stood still shows nothing.
func (r *Reconciler) probeMember(ctx context.Context, member ledger.Member) (alive bool, slowdown float64) {
	heldUp := 0
	for attempt := 0; attempt < min(probeAttempts+heldUp, maxProbeAttempts); attempt++ {
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		report, err := r.Engines.Report(call, member)
		if call.Err() != nil && r.Standstills.Stood(began, time.Now()) > 0 {
			heldUp++
		}
		cancel()
		var gone *GoneError
		if errors.As(err, &gone) {
			return false, 0
		}
		if err == nil {
			return report.Incarnation == member.Incarnation, report.Slowdown
		}
	}
	return false, 0
}

// reprobeUnhealthy probes the dead and the slow endpoints again, so that those
// which have recovered can be used.
func (r *Reconciler) reprobeUnhealthy(ctx context.Context, in Input) {
	unhealthy := slices.Collect(maps.Keys(in.Health.Dead))
	unhealthy = slices.AppendSeq(unhealthy, maps.Keys(in.Health.Slow))
	for _, id := range unhealthy {
		e := in.Endpoints.ByID[id]
		if e == nil || !r.Owns(e.Domain) || !r.observations.tryProbe("endpoint/"+id, in.Now, 2*probeInterval) {
			continue
		}
		member := memberOf(e)
		r.pool.Submit(func() {
			if alive, slowdown := r.probeMember(ctx, member); alive {
				r.observations.setProbed(member, true, slowdown)
				r.Logger.Info("dead or slow endpoint answered a probe", "endpoint", member.ID, "slow_by", slowdown)
			}
		})
	}
}

// probeAbsent probes the group members that have no registry entry: the group of
// one that is still running can continue to serve.
func (r *Reconciler) probeAbsent(ctx context.Context, in Input) {
	for _, record := range in.Groups.Groups {
		if record.Dissolving || !r.Owns(record.Domain) {
			continue
		}
		var absent []ledger.Member
		for _, member := range record.Members {
			if in.Endpoints.ByID[member.ID] != nil || !r.observations.tryProbe("absent/"+member.ID, in.Now, probeInterval) {
				continue
			}
			r.observations.setAbsent(member, Unconfirmed)
			absent = append(absent, member)
		}
		if len(absent) > 0 {
			r.pool.Submit(func() { r.probeAbsentMembers(ctx, record, absent) })
		}
	}
}

// probeAbsentMembers records the states of the members of a group that have no registry entry. If
// none of them answers, the others of the group are probed: when they do not answer either, the
// whole domain may be partitioned from this daemon and still be serving.
func (r *Reconciler) probeAbsentMembers(ctx context.Context, record *ledger.Record, absent []ledger.Member) {
	alive := r.probeAll(ctx, absent)
	anyAnswers := slices.Contains(alive, true)
	if !anyAnswers {
		others := slices.DeleteFunc(slices.Clone(record.Members), func(m ledger.Member) bool { return slices.Contains(absent, m) })
		anyAnswers = slices.Contains(r.probeAll(ctx, others), true)
	}
	for i, member := range absent {
		state := Unconfirmed
		switch {
		case alive[i]:
			state = Alive
		case anyAnswers:
			state = Unresponsive
		}
		r.observations.setAbsent(member, state)
		r.Logger.Info("probed group member without a registry entry", "endpoint", member.ID, "group", record.Group, "epoch", record.Epoch, "state", state)
	}
	r.Wake()
}

// probeAll probes members concurrently and reports which of them answer.
func (r *Reconciler) probeAll(ctx context.Context, members []ledger.Member) []bool {
	alive := make([]bool, len(members))
	var probes sync.WaitGroup
	for i, member := range members {
		probes.Go(func() { alive[i], _ = r.probeMember(ctx, member) })
	}
	probes.Wait()
	return alive
}
