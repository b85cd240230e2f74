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

// Doubt asks the members of a group that has fallen silent who is missing, if
// this daemon plans the group's domain. fault names a member that the head
// named; empty if none was.
func (k *Keeper) Doubt(ctx context.Context, group string, epoch uint64, fault string) {
	record := k.Ledger.Load().Groups[group]
	if record == nil || record.Epoch != epoch || !k.Owns(record.Domain) {
		return
	}
	if !k.memory.mayProbe(group, time.Now(), probeAgain) {
		return
	}
	k.pool.Submit(func() { k.probe(ctx, record, fault) })
}

// probe marks the members that do not answer though others do.
func (k *Keeper) probe(ctx context.Context, record *ledger.Record, fault string) {
	alive := make([]bool, len(record.Members))
	slowBy := make([]float64, len(record.Members))
	var wait sync.WaitGroup
	for i, member := range record.Members {
		wait.Go(func() { alive[i], slowBy[i] = k.ask(ctx, member) })
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
		return // the whole domain, or this daemon's own link
	}
	for i, member := range record.Members {
		k.memory.setProbed(member, alive[i], slowBy[i])
	}
	k.Wake()
}

// ask reports whether an endpoint still lives the life that was granted, and
// the factor on its times.
func (k *Keeper) ask(ctx context.Context, member ledger.Member) (alive bool, slowBy float64) {
	for range probeTries {
		call, cancel := context.WithTimeout(ctx, probeLimit)
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

// probeMarked asks the endpoints again that answered no probe, or were slow: one
// that is sound may be used.
func (k *Keeper) probeMarked(ctx context.Context, in Input) {
	marked := slices.Collect(maps.Keys(in.Health.Dead))
	marked = slices.AppendSeq(marked, maps.Keys(in.Health.Slow))
	for _, id := range marked {
		e := in.Endpoints.ByID[id]
		if e == nil || !k.Owns(e.Domain) || !k.memory.mayProbe("endpoint/"+id, in.Now, 2*probeAgain) {
			continue
		}
		member := memberOf(e)
		k.pool.Submit(func() {
			if alive, slowBy := k.ask(ctx, member); alive {
				k.memory.setProbed(member, true, slowBy)
				k.Logger.Info("endpoint answers", "endpoint", member.ID, "slow_by", slowBy)
			}
		})
	}
}

// probeAbsent asks the members whose entries are missing whether they still work:
// the group of one that does serves on.
func (k *Keeper) probeAbsent(ctx context.Context, in Input) {
	for _, record := range in.Groups.Groups {
		if record.Ending || !k.Owns(record.Domain) {
			continue
		}
		for _, member := range record.Members {
			if in.Endpoints.ByID[member.ID] != nil || !k.memory.mayProbe("absent/"+member.ID, in.Now, probeAgain) {
				continue
			}
			k.memory.setAbsent(member, Asked)
			k.pool.Submit(func() { k.askAbsent(ctx, record, member) })
		}
	}
}

func (k *Keeper) askAbsent(ctx context.Context, record *ledger.Record, member ledger.Member) {
	state := Asked
	if alive, _ := k.ask(ctx, member); alive {
		state = Alive
	} else if k.anyAnswers(ctx, record, member) {
		state = Silent
	}
	k.memory.setAbsent(member, state)
	k.Logger.Info("absent member asked", "endpoint", member.ID, "group", record.Group, "epoch", record.Epoch, "state", state)
	k.Wake()
}

// anyAnswers reports whether any other member of a group answers: without, its
// whole domain may be cut off from here, and serve on.
func (k *Keeper) anyAnswers(ctx context.Context, record *ledger.Record, but ledger.Member) bool {
	var wait sync.WaitGroup
	var answered atomic.Bool
	for _, member := range record.Members {
		if member.ID == but.ID {
			continue
		}
		wait.Go(func() {
			if alive, _ := k.ask(ctx, member); alive {
				answered.Store(true)
			}
		})
	}
	wait.Wait()
	return answered.Load()
}
