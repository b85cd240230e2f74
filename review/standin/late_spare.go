//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

const spareLateBy = 9 * time.Second // after which the unanswered order is carried out

// lateSpare starts a fleet of seven engines for the first time: a group of three of them, and one of four. One engine leaves its first order unanswered, a join as a spare, and carries
// it out 9 s later. Rule TWO: an engine takes a join of another group while the head of its group is open.
func lateSpare(folder string, trouble bool) (broken string) {
	platform := startStore()
	engines := map[string]*engine{}
	const late = "d0-e1"
	var mu sync.Mutex
	orders, unanswered := 0, 0
	for _, id := range []string{"d0-e0", late, "d0-e2", "d1-e0", "d1-e1", "d1-e2", "d1-e3"} {
		e := startEngine(platform, id, "redactor", "za", id[:2], []string{"m0"}, serveStream)
		e.beforeOrder = func(o order) bool {
			mu.Lock()
			defer mu.Unlock()
			orders++
			if !trouble || e.id != late || unanswered > 0 || o.Operation != "join" || !strings.HasPrefix(o.Group, "spare.") {
				return true
			}
			unanswered++
			note("engine %s: order %s of group %q epoch %d gets no answer, and is carried out %v later", e.id, o.Operation, o.Group, o.Epoch, spareLateBy)
			time.AfterFunc(spareLateBy, func() {
				note("engine %s: late order %s of group %q epoch %d: %d", e.id, o.Operation, o.Group, o.Epoch, e.carryOut(o))
			})
			return false
		}
		engines[id] = e
	}
	breaches := watchJoins(engines)
	platform.put("keyed.op", "config", []byte(strings.Replace(groupsConfig, `"size":2`, `"size":3`, 1)))
	for _, d := range []*daemon{newDaemon("front-1", "za"), newDaemon("front-2", "za"), newDaemon("front-3", "za")} {
		d.writeSettings(folder, platform.address, true)
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		d.start(folder)
	}
	for _, d := range fleet {
		await(15*time.Second, d.name+" is ready", d.isReady)
	}
	await(20*time.Second, "two open groups", func() bool {
		open := 0
		for _, e := range engines {
			if e.isOpen() {
				open++
			}
		}
		return open == 2
	})
	note("engine %s is %s", late, describe(engines[late]))
	streams := startStreams(fleet, 100*time.Millisecond)
	time.Sleep(15 * time.Second)
	streams.stop()
	time.Sleep(time.Second)
	note("engine %s is %s", late, describe(engines[late]))
	mu.Lock()
	defer mu.Unlock()
	note("%d orders, %d of them unanswered; streams: %s", orders, unanswered, streams)
	if streams.served.Load() == 0 {
		couldNotRun("no stream was served")
	}
	if trouble && unanswered == 0 {
		couldNotRun("%s got no join as a spare", late)
	}
	return breaches.first()
}
