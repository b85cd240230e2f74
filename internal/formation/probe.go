package formation

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

// Doubt probes the members of a group that stopped responding, if this daemon
// plans the group's domain. fault is the ID of the member that the head reported
// as failed, or empty.
func (k *Keeper) Doubt(ctx context.Context, group string, epoch uint64, fault string) {
	record := k.Ledger.Load().Groups[group]
	if record == nil || record.Epoch != epoch || !k.Owns(record.Domain) {
		return
	}
	if !k.observations.tryProbe(group, time.Now(), probeInterval) {
		return
	}
	k.pool.Submit(func() { k.probeGroup(ctx, record, fault) })
}

// probeGroup probes the members of a group and records those as dead that do not
// answer although others do.
func (k *Keeper) probeGroup(ctx context.Context, record *ledger.Record, fault string) {
	alive := make([]bool, len(record.Members))
	slowBy := make([]float64, len(record.Members))
	var wait sync.WaitGroup
	for i, member := range record.Members {
		wait.Go(func() { alive[i], slowBy[i] = k.probeMember(ctx, member) })
	}
	wait.Wait()
	answered := 0
	var silent []string
	for i, member := range record.Members {
		if alive[i] {
			answered++
			continue
		}
		silent = append(silent, member.ID)
	}
	k.Logger.Info("group probed", "group", record.Group, "epoch", record.Epoch, "answered", answered, "silent", silent, "fault", fault)
	if answered == 0 {
		return // the whole domain is unreachable, or this daemon's own network link is down
	}
	for i, member := range record.Members {
		k.observations.setProbed(member, alive[i], slowBy[i])
	}
	k.Wake()
}

// probeMember reports whether the granted incarnation of an endpoint is running,
// and its slowdown factor.
func (k *Keeper) probeMember(ctx context.Context, member ledger.Member) (alive bool, slowBy float64) {
	for range probeAttempts {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		report, err := k.Engines.Report(call, member)
		cancel()
		var gone *GoneError
		if errors.As(err, &gone) {
			return false, 0
		}
		if err == nil {
			return report.Born == member.Born, report.SlowBy
		}
	}
	return false, 0
}

// reprobeUnhealthy probes the dead and the slow endpoints again, so that those
// which have recovered can be used.
func (k *Keeper) reprobeUnhealthy(ctx context.Context, in Input) {
	unhealthy := slices.Collect(maps.Keys(in.Health.Dead))
	unhealthy = slices.AppendSeq(unhealthy, maps.Keys(in.Health.Slow))
	for _, id := range unhealthy {
		e := in.Endpoints.ByID[id]
		if e == nil || !k.Owns(e.Domain) || !k.observations.tryProbe("endpoint/"+id, in.Now, 2*probeInterval) {
			continue
		}
		member := memberOf(e)
		k.pool.Submit(func() {
			if alive, slowBy := k.probeMember(ctx, member); alive {
				k.observations.setProbed(member, true, slowBy)
				k.Logger.Info("dead or slow endpoint answered a probe", "endpoint", member.ID, "slow_by", slowBy)
			}
		})
	}
}

// probeAbsent probes the group members that have no registry entry: the group of
// one that is still running can continue to serve.
func (k *Keeper) probeAbsent(ctx context.Context, in Input) {
	for _, record := range in.Groups.Groups {
		if record.Ending || !k.Owns(record.Domain) {
			continue
		}
		for _, member := range record.Members {
			if in.Endpoints.ByID[member.ID] != nil || !k.observations.tryProbe("absent/"+member.ID, in.Now, probeInterval) {
				continue
			}
			k.observations.setAbsent(member, Unconfirmed)
			k.pool.Submit(func() { k.probeAbsentMember(ctx, record, member) })
		}
	}
}

func (k *Keeper) probeAbsentMember(ctx context.Context, record *ledger.Record, member ledger.Member) {
	state := Unconfirmed
	if alive, _ := k.probeMember(ctx, member); alive {
		state = Alive
	} else if k.anyOtherAnswers(ctx, record, member) {
		state = Unresponsive
	}
	k.observations.setAbsent(member, state)
	k.Logger.Info("probed group member without a registry entry", "endpoint", member.ID, "group", record.Group, "epoch", record.Epoch, "state", state)
	k.Wake()
}

// anyOtherAnswers reports whether any other member of a group answers a probe. If
// none does, the whole domain may be partitioned from this daemon and still be
// serving.
func (k *Keeper) anyOtherAnswers(ctx context.Context, record *ledger.Record, except ledger.Member) bool {
	var wait sync.WaitGroup
	var answered atomic.Bool
	for _, member := range record.Members {
		if member.ID == except.ID {
			continue
		}
		wait.Go(func() {
			if alive, _ := k.probeMember(ctx, member); alive {
				answered.Store(true)
			}
		})
	}
	wait.Wait()
	return answered.Load()
}
