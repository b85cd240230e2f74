package trace

import (
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// generator generates the random events of one trace.
type generator struct {
	*rand.Rand
	trace     Trace
	unusedVMs []int // VMs that have no event yet
}

// vm returns a random VM that has no events of its own yet.
func (g *generator) vm() fleet.VMID {
	next := g.unusedVMs[0]
	g.unusedVMs = g.unusedVMs[1:]
	return vmID(next/domainVMs, next%domainVMs)
}

// between returns a random duration in [low, high).
func (g *generator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.Int64N(int64(high-low)))
}

func (g *generator) start() time.Duration {
	return g.between(time.Minute, g.trace.Length-heldOutMargin)
}

func (g *generator) addEvents() {
	for range heldOutFailures {
		g.addOutage(g.vm(), g.start(), g.between(5*time.Minute, 20*time.Minute), Kill, Boot)
	}
	for range heldOutReplacements {
		vm, at := g.vm(), g.start()
		g.trace.add(vm, at, Leaving)
		g.addOutage(vm, at+time.Minute, time.Minute, Kill, Boot)
	}
	for range heldOutPauses {
		g.addOutage(g.vm(), g.start(), g.between(2*time.Second, 10*time.Second), Pause, Resume)
	}
	g.addFlapping()
}

func (g *generator) addOutage(vm fleet.VMID, at, length time.Duration, begin, end EventKind) {
	g.trace.add(vm, at, begin)
	g.trace.add(vm, at+length, end)
}

func (g *generator) addFlapping() {
	vm, at := g.vm(), g.start()
	for range 6 + g.IntN(7) {
		down := g.between(3*time.Second, 20*time.Second)
		g.addOutage(vm, at, down, Pause, Resume)
		at += down + g.between(20*time.Second, 60*time.Second)
	}
}

// addDomainOutage makes a fabric domain unreachable for a while; its VMs keep
// their state.
func (g *generator) addDomainOutage() {
	domain, at := g.IntN(smallDomains), g.start()
	g.trace.addDomain(domain, at, Pause)
	g.trace.addDomain(domain, at+g.between(30*time.Second, 5*time.Minute), Resume)
}
