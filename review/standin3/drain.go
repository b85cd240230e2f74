//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	drainBound = 2 * time.Second // bounds.drain_ms
	readPeriod = 700 * time.Millisecond
	// deployments are played one after the other: the daemons of each read at moments of their own.
	deployments = 4
	startSpread = 280 * time.Millisecond // machines start within 0.3 s of each other
)

// places of the eight daemons.
var places = []string{"a", "a", "a", "a", "b", "b", "b", "b"}

// drainWorld notes when requests reach engines.
type drainWorld struct {
	*world
	mu       sync.Mutex
	arrivals []arrival
}

func (l *drainWorld) serve(e *engine, w http.ResponseWriter, r *http.Request) {
	id := e.name()
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{at: time.Now(), engine: id, id: r.Header.Get("Request-Id")})
	l.mu.Unlock()
	e.answer(w, r, usualWork)
}

// reader returns the daemon of a zone that has read the entries from the store lately; the others read through it.
func (l *drainWorld) reader(zone string) *daemon {
	for range 100 {
		var found *daemon
		readers := 0
		for _, d := range l.daemons {
			if d.zone == zone && time.Since(time.Unix(0, d.readAt.Load())) < 2*readPeriod {
				found = d
				readers++
			}
		}
		if readers == 1 {
			return found
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("no single daemon of zone %s reads the entries", zone)
	return nil
}

// awaitReads waits until a daemon has just read the entries, and the other topics a moment before: its reads of the store are
// then longest ahead.
func awaitReads(d *daemon) {
	const moment = 150 * time.Millisecond
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		age := func(at *atomic.Int64) time.Duration { return time.Since(time.Unix(0, at.Load())) }
		if age(&d.readAt) < 10*time.Millisecond && age(&d.configReadAt) < moment && age(&d.groupsReadAt) < moment {
			return
		}
	}
	d.world.note("the reads of %s do not meet", d.name)
}

// keepAsking has callers ask each daemon again and again.
func (l *drainWorld) keepAsking(stop *atomic.Bool, failed *atomic.Int64) *sync.WaitGroup {
	const callersOfEach, pause = 6, 10 * time.Millisecond
	group := &sync.WaitGroup{}
	for _, d := range l.daemons {
		for c := range callersOfEach {
			group.Go(func() {
				for n := 0; !stop.Load(); n++ {
					id := fmt.Sprintf("%s-%d-%d", d.name, c, n)
					if o := d.send(request{method: "GET", path: "/read/" + id, id: id, key: "k1", deadline: 3 * time.Second}); o.status != http.StatusOK {
						failed.Add(1)
						l.note("request %s: status %d, %v", id, o.status, o.err)
					}
					time.Sleep(pause)
				}
			})
		}
	}
	return group
}

func playDrain(w *world) bool {
	late, failed := 0, int64(0)
	for deployment := range deployments {
		lateHere, failedHere := playDeployment(w, deployment)
		late, failed = late+lateHere, failed+failedHere
	}
	w.say("%d requests reached engines too late; %d requests failed", late, failed)
	return late > 0
}

// playDeployment starts a deployment and has an engine drain for each zone whose reader is cut off. It returns how many requests
// reached the engines too late, and how many failed.
func playDeployment(w *world, deployment int) (late int, failed int64) {
	l := &drainWorld{world: w}
	w.store = newStore()
	w.configure(1, []string{"desk"}, map[string][]string{"t": {"k1"}}, safeRoute("read", "desk"))
	var engines []*engine
	for i := range 8 {
		e := w.addEngine(fmt.Sprintf("i-%d-%d", deployment, i), "desk", string("ab"[i%2]))
		e.serve = l.serve
		engines = append(engines, e)
	}
	for i, zone := range places {
		w.addDaemon(fmt.Sprintf("n-%s-%d", zone, i), zone).start(true)
		time.Sleep(startSpread / time.Duration(len(places)))
	}
	w.awaitReady()
	time.Sleep(stabilityWindow)
	var stop atomic.Bool
	var failures atomic.Int64
	group := l.keepAsking(&stop, &failures)
	time.Sleep(stabilityWindow)
	for round, zone := range []string{"a", "b"} {
		leaving := engines[round]
		reader := l.reader(zone)
		awaitReads(reader)
		acknowledged := leaving.drain()
		if w.trouble {
			reader.storeGate.shut()
			w.note("daemon %s is cut off from the store", reader.name)
		}
		time.Sleep(drainBound + 1500*time.Millisecond)
		late += l.judge(leaving.name(), acknowledged, reader)
		leaving.leave()
		if w.trouble {
			reader.storeGate.reopen()
			w.note("daemon %s reaches the store again", reader.name)
		}
		time.Sleep(stabilityWindow)
	}
	stop.Store(true)
	group.Wait()
	for _, d := range w.daemons {
		d.kill()
	}
	w.daemons = nil
	for _, e := range engines[2:] {
		e.leave()
	}
	return late, failures.Load()
}

// judge returns how many requests reached an engine too late after its leaving was acknowledged, by way of daemons other
// than the reader: that one is out of touch while it is cut off. The id of a request begins with its daemon's name.
func (l *drainWorld) judge(engine string, acknowledged time.Time, reader *daemon) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	latest := map[string]time.Duration{}
	for _, a := range l.arrivals {
		after := a.at.Sub(acknowledged)
		if a.engine != engine || after <= 0 {
			continue
		}
		sender := a.id[:strings.LastIndex(a.id[:strings.LastIndex(a.id, "-")], "-")]
		latest[sender] = max(latest[sender], after)
		if after > drainBound && sender != reader.name {
			late++
			l.note("request %s reaches engine %s %.3f s after its draining was acknowledged", a.id, engine, after.Seconds())
		}
	}
	text := ""
	for _, d := range l.daemons {
		text += fmt.Sprintf(" %s %.3f", d.name, latest[d.name].Seconds())
	}
	l.say("reader %s: the last requests reached %s so many s after its draining was acknowledged:%s; %d later than %v by way of others than the reader", reader.name, engine, text, late, drainBound)
	return late
}
