package watch

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// engines simulates all engines of a data centre. An engine's address is the name
// of its VM.
type engines struct {
	mu          sync.Mutex
	reports     map[string]fleet.MemberReport
	dead        map[string]bool
	unreachable map[fleet.DaemonID]map[string]bool
	polls       int
	polledBy    map[fleet.DaemonID]map[string]int
	last        map[string]time.Time // time of the last poll of each engine
}

func newEngines(count int) *engines {
	e := &engines{
		reports:     map[string]fleet.MemberReport{},
		dead:        map[string]bool{},
		unreachable: map[fleet.DaemonID]map[string]bool{},
		last:        map[string]time.Time{},
		polledBy:    map[fleet.DaemonID]map[string]int{},
	}
	for i := range count {
		name := fmt.Sprintf("vm-%03d", i)
		e.reports[name] = fleet.MemberReport{
			VM: fleet.VMID(name), Boot: "boot-1", Group: 7, State: fleet.EngineReady,
			Model: "swatch-draft", Version: "v1", Adapters: []string{"paper"},
		}
	}
	return e
}

func (e *engines) vms() map[fleet.VMID]fleet.VM {
	vms := map[fleet.VMID]fleet.VM{}
	for name := range e.reports {
		vms[fleet.VMID(name)] = fleet.VM{ID: fleet.VMID(name), Address: name}
	}
	return vms
}

func (e *engines) update(name string, change func(*fleet.MemberReport)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.reports[name]
	change(&report)
	e.reports[name] = report
}

func (e *engines) setDead(name string, dead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead[name] = dead
}

// setUnreachable sets whether one daemon's polls of an engine fail.
func (e *engines) setUnreachable(daemon fleet.DaemonID, name string, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable[daemon] == nil {
		e.unreachable[daemon] = map[string]bool{}
	}
	e.unreachable[daemon][name] = cut
}

func (e *engines) pollCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls
}

func (e *engines) lastPolls() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.last)
}

// pollsBy returns the number of polls of an engine by one daemon.
func (e *engines) pollsBy(daemon fleet.DaemonID, name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polledBy[daemon][name]
}

func (e *engines) report(daemon fleet.DaemonID, address string) (fleet.MemberReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	if e.polledBy[daemon] == nil {
		e.polledBy[daemon] = map[string]int{}
	}
	e.polledBy[daemon][address]++
	e.last[address] = time.Now()
	if e.dead[address] || e.unreachable[daemon][address] {
		return fleet.MemberReport{}, &endpoint.UnreachableError{Address: address}
	}
	return e.reports[address], nil
}

// daemonEngine is the engines as seen by one daemon.
type daemonEngine struct {
	endpoint.Engine
	engines *engines
	daemon  fleet.DaemonID
}

func (e *daemonEngine) Report(_ context.Context, address string) (fleet.MemberReport, error) {
	return e.engines.report(e.daemon, address)
}
