package trace

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	domainVMs         = 16
	smallDomains      = 3
	largeDomains      = 7
	loadSeconds       = 60
	fullSpeedLoads    = 8
	acceleratorsPerVM = 8 // accelerators
	rollingVMs        = 92
)

// Traces returns the hand-written traces.
func Traces() []Trace {
	return []Trace{
		singleKilled(), singleKilledScarce(), shortPauses(), flapping(), domainUnreachable(), domainRebooted(), rolling(),
	}
}

// newTrace returns a trace without events, with models that leave few spare VMs.
func newTrace(name string, domains, scale int, length time.Duration) Trace {
	t := Trace{Name: name, Length: length, LoadingVMs: fullSpeedLoads, Accelerators: acceleratorsPerVM}
	for domain := range domains {
		for i := range domainVMs {
			t.VMs = append(t.VMs, fleet.VM{
				ID:           vmID(domain, i),
				Address:      "192.0.2.1:80",
				DataCentre:   DataCentre,
				FabricDomain: fleet.FabricDomain(fmt.Sprintf("d%d", domain)),
				Accelerators: acceleratorsPerVM,
			})
		}
	}
	t.Models = []config.Model{
		model("summary", 4, 3*scale, 0.5),
		model("draft", 4, 5*scale, 3),
		model("explain", 2, 6*scale, 1),
	}
	return t
}

func vmID(domain, i int) fleet.VMID {
	return fleet.VMID(fmt.Sprintf("d%d-%02d", domain, i))
}

func model(name fleet.ModelName, members, count int, value float64) config.Model {
	return config.Model{
		Name:          name,
		Version:       "v1",
		Members:       members,
		Replicas:      []config.Replicas{{DataCentre: DataCentre, Count: count}},
		Requests:      1,
		Value:         value,
		ChecksFencing: true,
		LoadSeconds:   loadSeconds,
	}
}

func singleKilled() Trace {
	t := newTrace("single member killed", smallDomains, 1, 20*time.Minute)
	t.add(vmID(0, 1), time.Minute, Kill)
	t.add(vmID(0, 1), 15*time.Minute, Boot)
	return t
}

// singleKilledScarce has no spare VMs.
func singleKilledScarce() Trace {
	t := newTrace("single member killed, no spares", smallDomains, 1, 20*time.Minute)
	t.Models[2].Replicas[0].Count += 2
	for domain := range smallDomains {
		t.add(vmID(domain, 1), time.Minute, Kill)
		t.add(vmID(domain, 1), 15*time.Minute, Boot)
	}
	return t
}

// LogOutages returns traces in which the log is unavailable while one member is
// killed, one VM is replaced, or a fabric domain is unreachable for 90 s.
func LogOutages(outage time.Duration) []Trace {
	killed := newTrace("log unavailable, a member killed", smallDomains, 1, outage+20*time.Minute)
	killed.add(vmID(0, 1), 2*time.Minute, Kill)
	replaced := newTrace("log unavailable, a VM replaced", smallDomains, 1, outage+20*time.Minute)
	replaced.add(vmID(0, 1), 2*time.Minute, Leaving)
	replaced.add(vmID(0, 1), 3*time.Minute, Kill)
	replaced.add(vmID(0, 1), 4*time.Minute, Boot)
	unreachable := newTrace("log unavailable, a fabric domain unreachable for 90 s", smallDomains, 1, outage+20*time.Minute)
	unreachable.addDomain(0, 2*time.Minute, Pause)
	unreachable.addDomain(0, 2*time.Minute+90*time.Second, Resume)
	traces := []Trace{killed, replaced, unreachable}
	for i := range traces {
		traces[i].LogOutage = Span{From: time.Minute, To: time.Minute + outage}
	}
	return traces
}

func shortPauses() Trace {
	t := newTrace("members pause briefly", smallDomains, 1, 20*time.Minute)
	for i := range 6 {
		at := time.Duration(1+2*i) * time.Minute
		t.add(vmID(i%smallDomains, 2*i), at, Pause)
		t.add(vmID(i%smallDomains, 2*i), at+5*time.Second, Resume)
	}
	return t
}

func flapping() Trace {
	t := newTrace("a member flaps", smallDomains, 1, 20*time.Minute)
	for i := range 15 {
		at := time.Minute + time.Duration(i)*45*time.Second
		t.add(vmID(0, 2), at, Pause)
		t.add(vmID(0, 2), at+5*time.Second, Resume)
	}
	return t
}

func domainUnreachable() Trace {
	t := newTrace("a fabric domain unreachable for 90 s", smallDomains, 1, 20*time.Minute)
	t.addDomain(0, time.Minute, Pause)
	t.addDomain(0, time.Minute+90*time.Second, Resume)
	return t
}

func domainRebooted() Trace {
	t := newTrace("a fabric domain down for 10 min", smallDomains, 1, 30*time.Minute)
	t.addDomain(0, time.Minute, Kill)
	t.addDomain(0, 11*time.Minute, Boot)
	return t
}

// rolling replaces one VM every 20 s, domain by domain. Each VM is listed as
// leaving one minute before it stops, and boots one minute after.
func rolling() Trace {
	t := newTrace("rolling replacement of 92 VMs", largeDomains, 2, 45*time.Minute)
	var events []Event
	for i := range rollingVMs {
		at := time.Minute + time.Duration(i)*20*time.Second
		vm := vmID(i/domainVMs, i%domainVMs)
		events = append(events,
			Event{At: at, VM: vm, Kind: Leaving},
			Event{At: at + time.Minute, VM: vm, Kind: Kill},
			Event{At: at + 2*time.Minute, VM: vm, Kind: Boot})
	}
	t.Events = sortedEvents(events)
	return t
}
