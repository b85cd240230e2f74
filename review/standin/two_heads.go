//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	cutTime     = 10 * time.Second        // of the partition from the store
	secondCut   = 5200 * time.Millisecond // until the head of the other group is partitioned, too
	lateBy      = 11 * time.Second        // after which an unanswered order is carried out
	lateOrders  = 2                       // unanswered orders
	largestLate = 0.35                    // share of the orders that may be unanswered
	largestCut  = 0.22                    // share of the engines that may be partitioned from the store
)

// twoHeads partitions three of fourteen engines from the store while requests still reach them: the head of a group and the
// spare of its domain, and a little later the head of the other group there. The first head leaves two orders unanswered,
// and carries them out 11 s later. Rule TWO: an engine takes a join of another group while the head of its group is open.
func twoHeads(folder string, trouble bool) (broken string) {
	platform := startStore()
	engines := map[string]*engine{}
	for domain, count := range map[string]int{"d0": 5, "d1": 5, "d2": 4} {
		for i := range count {
			id := fmt.Sprintf("%s-e%d", domain, i)
			engines[id] = startEngine(platform, id, "redactor", "za", domain, []string{"m0"}, serveStream)
		}
	}
	breaches := watchJoins(engines)
	platform.put("keyed.op", "config", []byte(groupsConfig))
	for i, zone := range []string{"za", "za", "zb"} {
		d := newDaemon(fmt.Sprintf("front-%d", i+1), zone)
		d.writeSettings(folder, platform.address, true)
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		d.start(folder)
	}
	for _, d := range fleet {
		await(15*time.Second, d.name+" is ready", d.isReady)
	}
	heads := func() (found []*engine) {
		for _, e := range engines {
			if e.domain == "d0" && e.isOpen() {
				found = append(found, e)
			}
		}
		return found
	}
	await(20*time.Second, "two open groups in d0", func() bool { return len(heads()) == 2 })
	streams := startStreams(fleet, 30*time.Millisecond)
	time.Sleep(4 * time.Second)

	// The head whose group has the later name is the one that leaves orders unanswered: the name of the other is free
	// first.
	both := heads()
	if len(both) != 2 {
		couldNotRun("d0 has %d open groups", len(both))
	}
	silent, other := both[0], both[1]
	if silent.group.Name < other.group.Name {
		silent, other = other, silent
	}
	cut := []*engine{silent, other}
	for _, e := range engines {
		e.mu.Lock()
		spare := e.domain == "d0" && (e.group == nil || len(e.group.members) < 2)
		e.mu.Unlock()
		if spare {
			cut = append(cut, e)
		}
	}
	if share := float64(len(cut)) / float64(len(engines)); share > largestCut {
		couldNotRun("%d of %d engines to partition", len(cut), len(engines))
	}
	orders, unanswered := 0, 0
	var ordersMu sync.Mutex
	watch := func(e *engine) {
		e.beforeOrder = func(o order) bool {
			ordersMu.Lock()
			defer ordersMu.Unlock()
			orders++
			if !trouble || e != silent || o.Operation != "leave" || unanswered == lateOrders {
				return true
			}
			unanswered++
			note("engine %s: order %s of group %q epoch %d gets no answer, and is carried out %v later", e.id, o.Operation, o.Group, o.Epoch, lateBy)
			time.AfterFunc(lateBy, func() { note("engine %s: late order %s of epoch %d: %d", e.id, o.Operation, o.Epoch, e.carryOut(o)) })
			return false
		}
	}
	for _, e := range engines {
		watch(e)
	}
	partition := func(e *engine) {
		if !trouble {
			note("engine %s (%s) would be partitioned from the store", e.id, describe(e))
			return
		}
		note("engine %s (%s) is partitioned from the store", e.id, describe(e))
		e.setCut(true)
		time.AfterFunc(cutTime, func() {
			note("engine %s reaches the store again", e.id)
			e.setCut(false)
		})
	}
	for _, e := range cut {
		if e != other {
			partition(e)
		}
	}
	time.Sleep(secondCut)
	partition(other)
	time.Sleep(cutTime)
	time.Sleep(6 * time.Second)
	streams.stop()
	ordersMu.Lock()
	defer ordersMu.Unlock()
	note("%d orders since the partition began, %d of them unanswered; streams: %s", orders, unanswered, streams)
	if streams.served.Load() == 0 {
		couldNotRun("no stream was served")
	}
	if unanswered > 0 && float64(unanswered) > largestLate*float64(orders) {
		couldNotRun("%d of %d orders were unanswered, more than the pages name", unanswered, orders)
	}
	return breaches.first()
}
